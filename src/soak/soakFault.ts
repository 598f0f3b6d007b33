/**
 * The faults that a soak draws from its seed.
 */
import type { RandomSource } from "../common/index.js";

/** A fault of a site with a limited duration. */
export interface SoakFault {
    readonly kind: FaultKind;
    /** The affected process, link or version. */
    readonly target: string;
    readonly durationMilliseconds: number;
}

const processKinds = ["kill", "stop", "freeze", "freeze-upstream", "none"] as const;
const environmentKinds = [
    "cut",
    "cut-to",
    "cut-from",
    "slow-link",
    "log-outage",
    "log-slow",
    "lost-acknowledgements",
    "rating-outage",
    "operators-race",
    "withdraw",
] as const;

/** The kind of a fault. */
export type FaultKind = typeof processKinds[number] | typeof environmentKinds[number];

const minDurationMilliseconds = 300;
const maxDurationMilliseconds = 3500;
/** Long enough for a withdrawal to be applied on every entry, so that its effect can be checked. */
const withdrawalMilliseconds = 7000;
const versions = ["label-large@3", "label-medium@2", "label-small@5"] as const;

/** Processes that faults can affect. */
export interface FaultTargets {
    readonly entries: readonly string[];
    readonly upstreams: readonly string[];
}

/** Draws a fault of a process. */
export function drawProcessFault(random: RandomSource, targets: FaultTargets): SoakFault {
    const kind = pick(random, processKinds);
    const target = pick(random, kind === "freeze-upstream" ? targets.upstreams : targets.entries);
    return { kind, target, durationMilliseconds: drawDuration(random) };
}

/** Draws a fault of the network or the platform, or an action of operators. */
export function drawEnvironmentFault(random: RandomSource, targets: FaultTargets): SoakFault {
    const kind = pick(random, environmentKinds);
    const durationMilliseconds = kind === "withdraw" ? withdrawalMilliseconds : drawDuration(random);
    const entry = pick(random, targets.entries);
    const linkTargets = [
        ...targets.upstreams,
        ...targets.entries.filter(name => name !== entry),
        "log",
        "log",
        "rating",
    ];
    const link = `${entry}>${pick(random, linkTargets)}`;
    const version = pick(random, versions);
    return { kind, target: kind === "withdraw" ? version : link, durationMilliseconds };
}

/** Draws one of several values. */
export function pick<Value>(random: RandomSource, values: readonly Value[]): Value {
    return values[random.nextInteger(values.length)];
}

function drawDuration(random: RandomSource): number {
    return minDurationMilliseconds + random.nextInteger(maxDurationMilliseconds - minDurationMilliseconds);
}
