/**
 * Detects which upstreams have crashed while they ran a request.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Clock, ReadTimeout } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { LastSigns } from "./lastSigns.js";
import type { Quarantine, SubjectCrash } from "./quarantine.js";
import { RecentEnds } from "./recentEnds.js";
import { type CrashStage, pointsByStage } from "./suspicion.js";
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

/** Time within which ends were at the same time that nodes notice as they happen. */
const coincidenceMilliseconds = 20;
/** The same for upstreams that fall silent: the time between two pieces of a steady answer. */
const silentCoincidenceMilliseconds = 50;
/** Points of all crashes under one request against each of its parts. Further ones do not say which of its parts is the cause. */
const maxRequestPoints = pointsByStage.running;

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
    /** Points that have counted against the parts of requests. */
    readonly #requestPoints = new WeakMap<WatchedRequest, number>();
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
        if (end === "disconnected" || isSilent(moment)) {
            this.#recentEnds.add(run.upstream, moment.endTime, this.#lastSigns.get(run.upstream));
        }
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
        if (!isSilent(moment)) {
            return;
        }
        this.#recentEnds.add(run.upstream, moment.endTime, this.#lastSigns.get(run.upstream));
        if (isNearStart(moment)) {
            void this.#examine(run, moment);
        }
    }

    /**
     * Finds out whether an upstream has ended although its answer is read no further: since it was silent, or since a cascade drops it. The
     * latter costs a connection, so it is done only for requests of which a part is suspect.
     */
    #evaluateStopped(run: WatchedRun, moment: RunMoment): void {
        if (isSilent(moment)) {
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
        const hasEndedNow = await isRefused;
        const life = hasEndedNow ? "ended" : await run.upstream.getLife();
        if (hasEndedNow) {
            await this.#addCrash(run, { ...moment, aliveWhenSent: "certain" }, life);
            return;
        }
        if (hasEndedByRun(life, moment)) {
            await this.#addCrash(run, life === "ended" ? assumeEarlierEnd(moment) : moment, life);
            return;
        }
        if (life === "running") {
            this.#lastSigns.mark(run.upstream, this.#options.clock.monotonic());
            this.#recentEnds.remove(run.upstream);
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

    async #addCrash(run: WatchedRun, moment: RunMoment, life: UpstreamLife): Promise<void> {
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
        const wasLikelyAlive = moment.aliveWhenSent === "likely";
        const isDoubtful = mayBeLoad || (wasLikelyAlive && life === "unresponsive");
        const evidence = { isDoubtful, isLastAttempt: run.isLastAttempt(), crashedAt };
        for (const fingerprint of request.getTraitKeys()) {
            const pointsAtStart = traitPoints.get(fingerprint) ?? 0;
            quarantine.addCrash({ ...evidence, fingerprint, pointsAtStart, stage, beganAt: run.sentAt });
        }
        if (partPoints.size > 0) {
            const partStage: CrashStage = run.hasHead ? "running" : "waiting";
            const partEvidence = { ...evidence, isDoubtful: mayBeLoad || wasLikelyAlive, stage: partStage, beganAt };
            await this.#addLoneCrash(run, moment, partEvidence);
        }
    }

    /**
     * Counts a crash against the parts of a request, unless other upstreams have ended at the same time: a request ends one upstream at a
     * time. Requests with the same part may end two by chance.
     */
    async #addLoneCrash(run: WatchedRun, moment: RunMoment, evidence: PartEvidence): Promise<void> {
        await this.#wait(coincidenceMilliseconds);
        const margin = isSilent(moment) ? silentCoincidenceMilliseconds : coincidenceMilliseconds;
        const maxOthers = isSilent(moment) || evidence.stage === "running" ? 1 : 0;
        const others = this.#recentEnds.countOthers(run.upstream, moment.endTime, margin);
        if (others <= maxOthers) {
            this.#addPartCrash(run, evidence);
            return;
        }
        const { request, upstream } = run;
        this.#options.journal.write(events.crashNotCounted, { request: request.id, upstream: upstream.id, others });
    }

    #addPartCrash({ request, partPoints }: WatchedRun, evidence: PartEvidence): void {
        const points = (this.#requestPoints.get(request) ?? 0) + pointsByStage[evidence.stage];
        if (points > maxRequestPoints) {
            return;
        }
        this.#requestPoints.set(request, points);
        for (const [fingerprint, pointsAtStart] of partPoints) {
            this.#options.partQuarantine.addCrash({ ...evidence, fingerprint, pointsAtStart });
        }
    }
}

/** Returns whether an upstream that has ended with a run may have done so because the request began to run. */
function isNearStart({ runMilliseconds }: RunMoment): boolean {
    return runMilliseconds <= crashWindowMilliseconds;
}

/** Returns whether an upstream has been silent for longer than a sound one. */
function isSilent({ silentMilliseconds }: RunMoment): boolean {
    return silentMilliseconds >= silenceMilliseconds;
}

/**
 * Returns the moment of an end that was not seen, of an upstream that has started anew. It may have ended any time since it was last heard,
 * and later crashes, and runs that crash nothing, are compared with the earliest moment.
 */
function assumeEarlierEnd(moment: RunMoment): RunMoment {
    const { heardAt, beganAt, runMilliseconds } = moment;
    return { ...moment, endedAt: heardAt, beganAt: runMilliseconds === 0 ? heardAt : Math.min(beganAt, heardAt) };
}

/**
 * Returns whether an upstream that was not seen to end has ended since the request was sent. It may have been down before: requests that are sent
 * meanwhile break off as well, or get no answer.
 */
function hasEndedByRun(life: UpstreamLife, { aliveWhenSent }: RunMoment): boolean {
    return (life === "ended" || life === "unresponsive") && aliveWhenSent !== "unknown";
}

function waitAtMost(promise: Promise<void>, milliseconds: number): Promise<void> {
    return new Promise((resolve, reject) => {
        const timeout = new ReadTimeout(milliseconds, resolve);
        promise.then(resolve, reject).finally(() => timeout.clear());
    });
}
