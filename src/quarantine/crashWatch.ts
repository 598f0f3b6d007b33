/**
 * Detects which upstreams have crashed while they ran a request.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { Quarantine } from "./quarantine.js";
import type { CrashStage } from "./suspicion.js";
import type { WatchedRequest } from "./watchedRequest.js";

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

/** The upstream of a run. */
export interface RunUpstream {
    readonly id: string;
    /** The address, as `HOST:PORT`. */
    readonly address: string;
}

/** A run of a request at an upstream that has ended. */
export interface EndedRun {
    readonly request: WatchedRequest;
    readonly upstream: RunUpstream;
    readonly end: RunEnd;
    /** The request's points in the quarantine when the run started. */
    readonly pointsAtStart: number;
    /** Monotonic time at which the answer started, in milliseconds. Undefined when it did not. */
    readonly headAt: number | undefined;
    /** Whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: boolean;
}

/** Options of `CrashWatch`. */
export interface CrashWatchOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly quarantine: Quarantine;
    /** Returns whether an upstream's machine answers that nothing listens at its address. */
    readonly isRefusingConnections: (address: string) => Promise<boolean>;
}

/** Reports crashes and complete runs to the quarantine. */
export class CrashWatch {
    readonly #options: CrashWatchOptions;

    constructor(options: CrashWatchOptions) {
        this.#options = options;
    }

    /** Admits a request that is about to be sent, or returns the time after which it may be admitted, in milliseconds. */
    admit({ getFingerprint }: WatchedRequest): number | undefined {
        return this.#options.quarantine.admit(getFingerprint);
    }

    /** Returns the points of a request that is about to be sent. */
    getPoints({ getFingerprint }: WatchedRequest): number {
        return this.#options.quarantine.getPoints(getFingerprint);
    }

    /** Evaluates a run that has ended. The next attempt of its request must wait for the result. */
    async evaluate(run: EndedRun): Promise<void> {
        const { request, upstream, end, headAt, pointsAtStart, isLastAttempt } = run;
        const { clock, journal, quarantine } = this.#options;
        if (end === "complete") {
            quarantine.addSurvival(request.getFingerprint());
            return;
        }
        const runMilliseconds = headAt === undefined ? 0 : clock.monotonic() - headAt;
        if (end === "stopped" || runMilliseconds > crashWindowMilliseconds) {
            return;
        }
        if (!await this.#options.isRefusingConnections(upstream.address)) {
            return;
        }
        const stage: CrashStage = request.isStream && headAt === undefined ? "waiting" : "running";
        const fingerprint = request.getFingerprint();
        journal.write(events.upstreamCrashed, {
            request: request.id,
            fingerprint,
            parts: request.getPartKeys().join(" ") || undefined,
            upstream: upstream.id,
            stage,
            points: pointsAtStart,
            runMs: Math.round(runMilliseconds),
        });
        quarantine.addCrash({ fingerprint, pointsAtStart, stage, isLastAttempt });
    }
}
