/**
 * Detects which upstreams have crashed while they ran a request.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { Quarantine } from "./quarantine.js";
import type { CrashStage } from "./suspicion.js";
import type { WatchedRequest } from "./watchedRequest.js";
import { crashWindowMilliseconds, type RunUpstream, WatchedRun } from "./watchedRun.js";

/** Time without anything from an upstream after which it may have ended. A sound one may be silent for a second. */
const silenceMilliseconds = 1_000;

/**
 * How a run of a request ended.
 * - `complete`: the upstream sent its whole answer.
 * - `disconnected`: the upstream closed or reset the connection.
 * - `stopped`: this node or the caller gave up.
 */
export type RunEnd = "complete" | "disconnected" | "stopped";

/** What is known of a run beside its end. */
export interface CrashDetails {
    /** Whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: boolean;
    /** Whether the upstream may crash under its load. */
    readonly mayBeLoad?: boolean;
}

/** How a run has ended, and what that means. */
export interface RunResult extends CrashDetails {
    readonly end: RunEnd;
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
    admit(request: WatchedRequest): number | undefined {
        const { quarantine, partQuarantine } = this.#options;
        const { getTraitKeys, getPartKeys } = request;
        const wait = this.getWait(request);
        if (wait === undefined) {
            partQuarantine.admit(getPartKeys);
            quarantine.admit(getTraitKeys);
        }
        return wait;
    }

    /** Returns what `admit` would return now, without admitting the request. */
    getWait({ getTraitKeys, getPartKeys }: WatchedRequest): number | undefined {
        const { quarantine, partQuarantine } = this.#options;
        return partQuarantine.getWait(getPartKeys) ?? quarantine.getWait(getTraitKeys);
    }

    /** Returns whether a request, or a part of its prompt, may crash upstreams. */
    isSuspect({ getTraitKeys, getPartKeys }: WatchedRequest): boolean {
        const { quarantine, partQuarantine } = this.#options;
        return quarantine.isSuspect(getTraitKeys) || partQuarantine.isSuspect(getPartKeys);
    }

    /** Starts to watch a run of a request that was admitted. */
    startRun(request: WatchedRequest, upstream: RunUpstream): WatchedRun {
        const { clock, quarantine, partQuarantine } = this.#options;
        return new WatchedRun({ request, upstream, clock, quarantine, partQuarantine });
    }

    /** Evaluates a run that has ended. The next attempt of its request must wait for the result. */
    async evaluate(run: WatchedRun, { end, ...details }: RunResult): Promise<void> {
        if (end === "complete") {
            run.addSurvival();
            return;
        }
        if (run.getMilliseconds() > crashWindowMilliseconds) {
            this.#reportUnproven(run, end, "too-late");
            return;
        }
        if (details.mayBeLoad === true && run.request.getPartKeys().length === 0) {
            // That is no evidence against the request as a whole.
            return;
        }
        if (end === "stopped") {
            this.#reportUnproven(run, end, "not-asked");
            this.#evaluateLater(run, details);
            return;
        }
        await this.#addCrashIfDown(run, details);
    }

    /**
     * Finds out whether an upstream crashes although its answer is read no further, as when a cascade drops it. This costs a connection,
     * so it is done only for requests of which a part is suspect.
     */
    #evaluateLater(run: WatchedRun, details: CrashDetails): void {
        if (run.hasHead && this.#options.partQuarantine.isSuspect(() => run.request.getPartKeys())) {
            const remaining = crashWindowMilliseconds - run.getMilliseconds();
            setTimeout(() => void this.#addCrashIfDown(run, details), remaining).unref();
        }
    }

    async #addCrashIfDown(run: WatchedRun, details: CrashDetails): Promise<void> {
        if (await this.#options.isRefusingConnections(run.upstream.address)) {
            this.#addCrash(run, details);
            return;
        }
        this.#reportUnproven(run, "disconnected", "accepting-or-silent");
    }

    /** Reports an end of which it is not known whether it was that of the upstream. A run that was merely given up is none. */
    #reportUnproven(run: WatchedRun, end: RunEnd, found: string): void {
        const silentMs = Math.round(run.getSilentMilliseconds());
        if (end === "stopped" && silentMs < silenceMilliseconds) {
            return;
        }
        this.#options.journal.write(events.endNotProven, {
            request: run.request.id,
            upstream: run.upstream.id,
            found,
            end,
            hasHead: run.hasHead,
            runMs: Math.round(run.getMilliseconds()),
            silentMs,
        });
    }

    #addCrash(run: WatchedRun, { isLastAttempt, mayBeLoad = false }: CrashDetails): void {
        const { journal, quarantine, partQuarantine } = this.#options;
        const { request, upstream } = run;
        const stage: CrashStage = request.isStream && !run.hasHead ? "waiting" : "running";
        const fingerprint = request.getFingerprint();
        const { traitPoints, partPoints } = run;
        journal.write(events.upstreamCrashed, {
            request: request.id,
            fingerprint,
            traits: request.getTraitKeys().join(" "),
            parts: [...partPoints.keys()].join(" ") || undefined,
            upstream: upstream.id,
            stage,
            points: Math.max(0, ...traitPoints.values()),
            runMs: Math.round(run.getMilliseconds()),
        });
        for (const trait of request.getTraitKeys()) {
            const pointsAtStart = traitPoints.get(trait) ?? 0;
            quarantine.addCrash({ fingerprint: trait, pointsAtStart, stage, mayBeLoad, isLastAttempt });
        }
        if (stage === "waiting" || this.#countedRequests.has(request)) {
            return;
        }
        this.#countedRequests.add(request);
        for (const [part, points] of partPoints) {
            partQuarantine.addCrash({ fingerprint: part, pointsAtStart: points, stage, mayBeLoad, isLastAttempt });
        }
    }
}
