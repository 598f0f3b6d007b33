/**
 * Detects which upstreams have crashed while they ran a request.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Clock, ReadTimeout } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { LastSigns } from "./lastSigns.js";
import type { Quarantine, SubjectCrash } from "./quarantine.js";
import { RecentEnds } from "./recentEnds.js";
import type { CrashStage } from "./suspicion.js";
import type { UpstreamLife } from "./upstreamLife.js";
import type { WatchedRequest } from "./watchedRequest.js";
import {
    crashWindowMilliseconds,
    type RunDescription,
    type RunMoment,
    silenceMilliseconds,
    WatchedRun,
} from "./watchedRun.js";

/**
 * Time for which the next attempt of a request waits for a sign of life of the last one's upstream. One that runs gives it at once; what
 * takes longer is still counted, and only delays the caller.
 */
const maxDelayMilliseconds = 150;

/** Time within which upstreams have ended at the same time. Nodes notice refused connections within a few milliseconds. */
const coincidenceMilliseconds = 20;

/** A crash as it counts against each part of a prompt. */
type PartEvidence = Omit<SubjectCrash, "fingerprint" | "pointsAtStart">;

/**
 * How a run of a request ended.
 * - `complete`: the upstream sent its whole answer.
 * - `disconnected`: the upstream closed or reset the connection.
 * - `stopped`: this node or the caller gave up.
 */
export type RunEnd = "complete" | "disconnected" | "stopped";

/** Options of `CrashWatch`. */
export interface CrashWatchOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** Requests that crash upstreams. */
    readonly quarantine: Quarantine;
    /** Parts of prompts that crash upstreams. */
    readonly partQuarantine: Quarantine;
    /** Waits for a number of milliseconds. */
    readonly wait?: (milliseconds: number) => Promise<unknown>;
}

/** Reports crashes and complete runs to the quarantines. */
export class CrashWatch {
    readonly #options: CrashWatchOptions;
    readonly #lastSigns = new LastSigns();
    readonly #recentEnds = new RecentEnds();
    readonly #wait: (milliseconds: number) => Promise<unknown>;
    /**
     * Requests whose crashes count against their parts already. Further attempts of one request say nothing about which of its parts
     * is the cause.
     */
    readonly #countedRequests = new WeakSet<WatchedRequest>();
    /** Runs whose upstreams are looked at, or have been found ended. */
    readonly #examinedRuns = new WeakSet<WatchedRun>();

    constructor(options: CrashWatchOptions) {
        this.#options = options;
        this.#wait = options.wait ?? (milliseconds => sleep(milliseconds, undefined, { ref: false }));
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
    startRun(request: WatchedRequest, description: RunDescription): WatchedRun {
        const { clock, quarantine, partQuarantine } = this.#options;
        const lastSigns = this.#lastSigns;
        return new WatchedRun({ ...description, request, clock, quarantine, partQuarantine, lastSigns });
    }

    /** Evaluates a run that has ended. The next attempt of its request must wait for the result. */
    async evaluate(run: WatchedRun, end: RunEnd): Promise<void> {
        if (end === "complete") {
            run.addSurvival();
            return;
        }
        const moment = run.getMoment();
        if (!isNearStart(moment)) {
            return;
        }
        if (run.mayBeLoad && run.request.getPartKeys().length === 0) {
            // That is no evidence against the request as a whole.
            return;
        }
        if (end === "stopped") {
            this.#evaluateStopped(run, moment);
            return;
        }
        const isRefused = run.upstream.isRefusingConnections();
        const examination = this.#examine(run, moment, isRefused);
        await isRefused;
        await waitAtMost(examination, maxDelayMilliseconds);
    }

    /**
     * Evaluates a run that goes on at an upstream that has sent nothing for a while, as one does that has gone dark under it. A sound one
     * goes on, and is asked for a sign of life only.
     */
    observeSilence(run: WatchedRun): void {
        const moment = run.getMoment();
        if (isNearStart(moment) && moment.silentMilliseconds >= silenceMilliseconds) {
            void this.#examine(run, moment);
        }
    }

    /**
     * Finds out whether an upstream has ended although its answer is read no further: since it was silent, or since a cascade drops it. The
     * latter costs a connection, so it is done only for requests of which a part is suspect.
     */
    #evaluateStopped(run: WatchedRun, moment: RunMoment): void {
        if (moment.silentMilliseconds >= silenceMilliseconds) {
            void this.#examine(run, moment);
        }
        else if (run.hasHead && this.#options.partQuarantine.isSuspect(run.request.getPartKeys)) {
            const remaining = crashWindowMilliseconds - moment.runMilliseconds;
            void this.#wait(remaining).then(() => this.#examine(run, moment));
        }
    }

    async #examine(
        run: WatchedRun,
        moment: RunMoment,
        isRefused = run.upstream.isRefusingConnections(),
    ): Promise<void> {
        if (this.#examinedRuns.has(run)) {
            return;
        }
        this.#examinedRuns.add(run);
        const life = await isRefused ? "ended" : await run.upstream.getLife();
        if (life === "ended" || (life === "unresponsive" && moment.aliveWhenSent !== "unknown")) {
            this.#addCrash(run, moment, life);
            return;
        }
        if (life === "running") {
            this.#lastSigns.mark(run.upstream, this.#options.clock.monotonic());
        }
        // A run that goes on may still end with its upstream.
        this.#examinedRuns.delete(run);
        this.#options.journal.write(events.endNotProven, {
            request: run.request.id,
            upstream: run.upstream.id,
            found: life,
            hasHead: run.hasHead,
            runMs: Math.round(moment.runMilliseconds),
            silentMs: Math.round(moment.silentMilliseconds),
        });
    }

    #addCrash(run: WatchedRun, moment: RunMoment, life: UpstreamLife): void {
        const { journal, quarantine } = this.#options;
        const { request, upstream, mayBeLoad, traitPoints, partPoints } = run;
        const stage: CrashStage = request.isStream && !run.hasHead ? "waiting" : "running";
        const { endedAt: crashedAt, beganAt } = moment;
        journal.write(events.upstreamCrashed, {
            request: request.id,
            fingerprint: request.getFingerprint(),
            traits: request.getTraitKeys().join(" "),
            parts: [...partPoints.keys()].join(" ") || undefined,
            upstream: upstream.id,
            found: life,
            stage,
            points: Math.max(0, ...traitPoints.values()),
            runMs: Math.round(moment.runMilliseconds),
            silentMs: Math.round(moment.silentMilliseconds),
        });
        const isDoubtful = mayBeLoad || (life === "unresponsive" && moment.aliveWhenSent === "likely");
        const evidence = { isDoubtful, isLastAttempt: run.isLastAttempt(), crashedAt };
        for (const fingerprint of request.getTraitKeys()) {
            const pointsAtStart = traitPoints.get(fingerprint) ?? 0;
            quarantine.addCrash({ ...evidence, fingerprint, pointsAtStart, stage, beganAt: run.sentAt });
        }
        this.#recentEnds.add(upstream, moment.endedMonotonic);
        if (run.hasHead) {
            this.#addPartCrash(run, { ...evidence, stage: "running", beganAt });
        }
        else if (partPoints.size > 0) {
            void this.#addLoneCrash(run, moment, { ...evidence, stage: "waiting", beganAt });
        }
    }

    /**
     * Counts a crash against the parts of a request that waited, as its upstream may have ended before the first byte of the answer that it
     * began. A request ends one upstream at a time: where several have ended at the same time, they did not end by what waited there.
     */
    async #addLoneCrash(run: WatchedRun, { endedMonotonic }: RunMoment, evidence: PartEvidence): Promise<void> {
        await this.#wait(coincidenceMilliseconds);
        if (!this.#recentEnds.hasOther(run.upstream, endedMonotonic, coincidenceMilliseconds)) {
            this.#addPartCrash(run, evidence);
        }
    }

    #addPartCrash({ request, partPoints }: WatchedRun, evidence: PartEvidence): void {
        if (this.#countedRequests.has(request)) {
            return;
        }
        this.#countedRequests.add(request);
        for (const [fingerprint, pointsAtStart] of partPoints) {
            this.#options.partQuarantine.addCrash({ ...evidence, fingerprint, pointsAtStart });
        }
    }
}

/** Returns whether an upstream that has ended with a run may have done so because the request began to run. */
function isNearStart({ runMilliseconds }: RunMoment): boolean {
    return runMilliseconds <= crashWindowMilliseconds;
}

function waitAtMost(promise: Promise<void>, milliseconds: number): Promise<void> {
    return new Promise((resolve, reject) => {
        const timeout = new ReadTimeout(milliseconds, resolve);
        promise.then(resolve, reject).finally(() => timeout.clear());
    });
}
