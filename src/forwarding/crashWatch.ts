/**
 * Detects which upstreams have crashed while they ran a request.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { CrashStage, Quarantine } from "../quarantine/index.js";
import { isRepeatable } from "../routing/index.js";
import type { Exchange } from "./exchange.js";

/**
 * Time after the head of a stream within which a crash counts against the request, in milliseconds. A request that has run for
 * longer is not the one that crashes its runner as it begins to run.
 */
export const crashWindowMilliseconds = 400;

/**
 * How a run of a request ended.
 * - `complete`: the upstream sent its whole answer.
 * - `disconnected`: the upstream closed or reset the connection.
 * - `stopped`: this node or the caller gave up.
 */
export type RunEnd = "complete" | "disconnected" | "stopped";

/** A run of a request at an upstream that has ended. */
export interface EndedRun {
    readonly exchange: Exchange;
    readonly upstream: RegisteredUpstream;
    readonly end: RunEnd;
    /** The request's points in the quarantine when the run started. */
    readonly pointsAtStart: number;
    /** Monotonic time at which the head of the answer arrived, in milliseconds. Undefined when none did. */
    readonly headAt: number | undefined;
}

/** Options of `CrashWatch`. */
export interface CrashWatchOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly quarantine: Quarantine;
    /** Returns whether an upstream's machine answers that nothing listens at its address. */
    readonly isRefusingConnections: (upstream: RegisteredUpstream) => Promise<boolean>;
}

/** Reports crashes and complete runs to the quarantine. */
export class CrashWatch {
    readonly #options: CrashWatchOptions;

    constructor(options: CrashWatchOptions) {
        this.#options = options;
    }

    /** Admits a request that is about to be sent, or returns the time after which it may be admitted, in milliseconds. */
    admit(exchange: Exchange): number | undefined {
        return this.#options.quarantine.admit(() => exchange.getFingerprint());
    }

    /** Returns the points of a request that is about to be sent. */
    getPoints(exchange: Exchange): number {
        return this.#options.quarantine.getPoints(() => exchange.getFingerprint());
    }

    /** Evaluates a run that has ended. The next attempt of its request must wait for the result. */
    async evaluate(run: EndedRun): Promise<void> {
        const { exchange, upstream, end, headAt, pointsAtStart } = run;
        const { clock, journal, quarantine } = this.#options;
        const now = clock.monotonic();
        if (end === "complete") {
            quarantine.addSurvival(exchange.getFingerprint());
            return;
        }
        const isLongRun = headAt !== undefined && now - headAt > crashWindowMilliseconds;
        if (end === "stopped" || isLongRun || !await this.#options.isRefusingConnections(upstream)) {
            return;
        }
        const { route, attempts } = exchange;
        const stage = getStage(run);
        const fingerprint = exchange.getFingerprint();
        journal.write(events.upstreamCrashed, {
            request: exchange.request.id,
            fingerprint,
            upstream: upstream.id,
            stage,
            points: pointsAtStart,
            runMs: headAt === undefined ? undefined : Math.round(now - headAt),
        });
        const isLastAttempt = !isRepeatable(route) || attempts >= route.maxAttempts;
        quarantine.addCrash({ fingerprint, pointsAtStart, stage, isLastAttempt });
    }
}

/** Returns how far a request had come. A plain service sends the head of its answer only at the end of its work. */
function getStage({ exchange, headAt }: EndedRun): CrashStage {
    return exchange.route.kind === "stream" && headAt === undefined ? "waiting" : "running";
}
