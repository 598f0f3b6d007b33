/**
 * Draws the answers of the runners of a replayed fleet.
 */
import type { RandomSource } from "../../src/common/index.js";
import type { BadVersion } from "./fleetReplayOptions.js";
import { fullHeadIncrease, fullPauseIncrease, headMilliseconds, pauseMilliseconds } from "./replayConstants.js";

/** Standard deviations of the logarithms of the times to the head, of the pauses and of the numbers of parts. */
const headDeviation = 0.8;
const pauseDeviation = 0.3;
const partsDeviation = 0.3;
/** Kinds of request, their share of all, and the median of their parts after the first one. */
const kinds = [
    { segment: "plan", share: 0.2, parts: 37 },
    { segment: "query", share: 0.34, parts: 28 },
    { segment: "tag", share: 0.46, parts: 1 },
];

/** An answer that a runner is about to give. */
export interface DrawnAnswer {
    readonly segment: string;
    /** What is bad of it; undefined if it is good. */
    readonly bad: BadVersion | undefined;
    readonly hasFailed: boolean;
    /** Time to its head, and number of its pauses and their length. */
    readonly headMilliseconds: number;
    readonly pauses: number;
    readonly pauseMilliseconds: number;
}

/** What the answer to a request depends on. */
export interface DrawOptions {
    /** What is bad of the version that answers; undefined for a good one. */
    readonly bad: BadVersion | undefined;
    /** Load of the runner; 1 if it is full. */
    readonly load: number;
    /** Time since the order, in milliseconds. */
    readonly elapsed: number;
}

/** Draws the kind of a request and its answer. */
export function drawAnswer(random: RandomSource, options: DrawOptions): DrawnAnswer {
    const { load } = options;
    const { segment, parts } = drawKind(random);
    const bad = drawBad(random, segment, options);
    const hasFailed = bad?.how === "errors";
    return {
        segment,
        bad,
        hasFailed,
        headMilliseconds: headMilliseconds * (bad?.headFactor ?? 1) * (1 + fullHeadIncrease * load)
            * Math.exp(headDeviation * random.nextNormal()),
        pauseMilliseconds: pauseMilliseconds * (bad?.pauseFactor ?? 1) * (1 + fullPauseIncrease * load)
            * Math.exp(pauseDeviation * random.nextNormal()),
        pauses: hasFailed ? 0 : Math.round(parts * Math.exp(partsDeviation * random.nextNormal())),
    };
}

/** Returns the mean time of an answer at a runner with some load, in seconds. */
export function getUsualAnswerSeconds(): number {
    return kinds.reduce(
        (sum, { share, parts }) => sum + share * (headMilliseconds * 2 + parts * pauseMilliseconds * 2) / 1_000,
        0,
    );
}

function drawKind(random: RandomSource): { readonly segment: string; readonly parts: number; } {
    let rest = random.next();
    for (const kind of kinds) {
        rest -= kind.share;
        if (rest < 0) {
            return kind;
        }
    }
    return kinds[0];
}

function drawBad(
    random: RandomSource,
    segment: string,
    { bad, load, elapsed }: DrawOptions,
): BadVersion | undefined {
    const isPossible = bad !== undefined
        && (bad.segment ?? segment) === segment
        && elapsed >= (bad.from ?? 0)
        && load >= (bad.minLoad ?? 0);
    return isPossible && random.next() < bad.share ? bad : undefined;
}
