/**
 * Detects which upstreams have crashed while they ran a request.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { Quarantine } from "./quarantine.js";
import type { CrashStage } from "./suspicion.js";
import type { WatchedRequest } from "./watchedRequest.js";
import { crashWindowMilliseconds, type RunUpstream, WatchedRun } from "./watchedRun.js";

/**
 * How a run of a request ended.
 * - `complete`: the upstream sent its whole answer.
 * - `disconnected`: the upstream closed or reset the connection.
 * - `stopped`: this node or the caller gave up.
 */
export type RunEnd = "complete" | "disconnected" | "stopped";

/** How a run has ended, and what that means. */
export interface RunResult {
    readonly end: RunEnd;
    /** Whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: boolean;
    /** Whether the upstream may crash under its load. */
    readonly mayBeLoad?: boolean;
}

/** Options of `CrashWatch`. */
export interface CrashWatchOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** Requests that crash upstreams. */
    readonly quarantine: Quarantine;
    /** Parts of prompts that crash upstreams. */
    readonly partQuarantine: Quarantine;
    /** Returns whether an upstream's machine answers that nothing listens at its address. */
    readonly isRefusingConnections: (address: string) => Promise<boolean>;
}

/** Reports crashes and complete runs to the quarantines. */
export class CrashWatch {
    readonly #options: CrashWatchOptions;
    /**
     * Requests whose crashes count against their parts already. Further attempts of one request say nothing about which of its parts
     * is the cause.
     */
    readonly #countedRequests = new WeakSet<WatchedRequest>();

    constructor(options: CrashWatchOptions) {
        this.#options = options;
    }

    /** Admits a request that is about to be sent, or returns the time after which it may be admitted, in milliseconds. */
    admit({ getFingerprint, getPartKeys }: WatchedRequest): number | undefined {
        const { quarantine, partQuarantine } = this.#options;
        return partQuarantine.admit(getPartKeys) ?? quarantine.admit(() => [getFingerprint()]);
    }

    /** Starts to watch a run of a request that was admitted. */
    startRun(request: WatchedRequest, upstream: RunUpstream): WatchedRun {
        const { clock, quarantine, partQuarantine } = this.#options;
        return new WatchedRun({ request, upstream, clock, quarantine, partQuarantine });
    }

    /** Evaluates a run that has ended. The next attempt of its request must wait for the result. */
    async evaluate(run: WatchedRun, { end, isLastAttempt, mayBeLoad = false }: RunResult): Promise<void> {
        if (end === "complete") {
            run.addSurvival();
            return;
        }
        if (end === "stopped" || run.getMilliseconds() > crashWindowMilliseconds) {
            return;
        }
        if (await this.#options.isRefusingConnections(run.upstream.address)) {
            this.#addCrash(run, { isLastAttempt, mayBeLoad });
        }
    }

    #addCrash(
        run: WatchedRun,
        { isLastAttempt, mayBeLoad }: { readonly isLastAttempt: boolean; readonly mayBeLoad: boolean; },
    ): void {
        const { journal, quarantine, partQuarantine } = this.#options;
        const { request, upstream } = run;
        const stage: CrashStage = request.isStream && !run.hasHead ? "waiting" : "running";
        const fingerprint = request.getFingerprint();
        const { pointsAtStart, partPoints } = run;
        journal.write(events.upstreamCrashed, {
            request: request.id,
            fingerprint,
            parts: [...partPoints.keys()].join(" ") || undefined,
            upstream: upstream.id,
            stage,
            points: pointsAtStart,
            runMs: Math.round(run.getMilliseconds()),
        });
        quarantine.addCrash({ fingerprint, pointsAtStart, stage, mayBeLoad, isLastAttempt });
        if (stage === "waiting" || this.#countedRequests.has(request)) {
            return;
        }
        this.#countedRequests.add(request);
        const countedParts = [...partPoints].map(([part, points]) => ({
            fingerprint: part,
            pointsAtStart: points,
            hasLikelierCause: partQuarantine.hasLikelierCause(part),
        }));
        for (const counted of countedParts) {
            partQuarantine.addCrash({ ...counted, stage, mayBeLoad, isLastAttempt });
        }
    }
}
