/**
 * Stops what crashes upstreams from being sent again by any node: single requests, or parts that the prompts of many share.
 *
 * Such a request comes back, with another identifier and at another node, and such a part comes with ever new requests. If each
 * starts from nothing, they crash upstreams until none is left, and each crash also cuts off every other answer of that upstream.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { type CrashRecord, getSuspicion, mergeCrashRecords } from "./crashRecord.js";
import { CrashRecords } from "./crashRecords.js";
import { RecentSurvivals } from "./recentSurvivals.js";
import {
    type CrashStage,
    getRetentionMilliseconds,
    isQuarantined,
    suspicionMilliseconds,
    type SuspicionPolicy,
} from "./suspicion.js";

/** Time within which a trial has shown whether the request crashes its upstream, in milliseconds. Until then there is no other. */
const trialTimeoutMilliseconds = 30_000;
/**
 * Time between two crashes in which a run that began after the first one shows whether it outlives its beginning. The time of a crash is
 * known less exactly than that, too, where its upstream fell silent.
 */
const evidenceMilliseconds = 250;
/** Time after the start of a quarantine in which requests with its subject may still run that were admitted before. */
const admittedMilliseconds = 3_000;
/** Time between the trials of two nodes. In less than that, all nodes know how the first one ended. */
const trialStepMilliseconds = 5_000;
/** Maximum number of subjects that one node publishes or stores. */
const maxOwnRecords = 64;
const storeRetryMilliseconds = 1_000;
/** Time after which another request may find a trial ended. */
const minRetryAfterMilliseconds = 1_000;

/** Options of `Quarantine`. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly policy: SuspicionPolicy;
    /** Sends this node's records to the other nodes, at once if urgent. */
    readonly publish: (records: readonly CrashRecord[], options: { readonly urgent: boolean; }) => void;
    /** Stores this node's records of what is quarantined outside of the nodes. Resolves to whether that succeeded. */
    readonly store: (records: readonly CrashRecord[]) => Promise<boolean>;
    /** Called when this node learns that a subject is quarantined. */
    readonly onQuarantined: () => void;
    /** Returns this node's place, from 0, in the order in which the nodes may try a subject after its quarantine. */
    readonly getTrialRank: (fingerprint: string) => number;
}

/** A crash of an upstream that a request was sent to. */
export interface SubjectCrash {
    /** The fingerprint of the request, or the key of a part of its prompt. */
    readonly fingerprint: string;
    /** The subject's points as they were known when the run started. */
    readonly pointsAtStart: number;
    /**
     * Wall-clock times from which on the run may have begun to run the subject, and at which the upstream crashed, in milliseconds since
     * the Unix epoch. The crash may have become known seconds later.
     */
    readonly beganAt: number;
    readonly crashedAt: number;
    readonly stage: CrashStage;
    /** Whether the upstream may well have ended for another reason: by its load, or before the run was sent. */
    readonly isDoubtful: boolean;
    /** Whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: boolean;
}

/** Knows which requests, or which parts of prompts, crash upstreams, from this node's own calls and from the records of the other nodes. */
export class Quarantine {
    readonly #options: QuarantineOptions;
    readonly #records: CrashRecords;
    /** Fingerprints of the records that this node publishes, in the order of their last change. */
    readonly #own = new Set<string>();
    readonly #survivals = new RecentSurvivals();
    /** Wall-clock times until which this node waits for the results of its trials, by fingerprint. */
    readonly #trialEnds = new Map<string, number>();
    #isStoring = false;
    #mustStore = false;

    constructor(options: QuarantineOptions) {
        this.#options = options;
        this.#records = new CrashRecords(options.clock, options.policy);
    }

    /** Returns the number of subjects that are quarantined. */
    countQuarantined(): number {
        return this.#records.countQuarantined();
    }

    /**
     * Admits a request that is about to be sent to an upstream. After the quarantine of all of its subjects it is admitted once: at
     * the node that has the first place for the first of them, or later at others, as that one may receive no such request.
     * @param getFingerprints - Returns the request's subjects. Called only if any subject is suspect, since it reads the whole body.
     * @returns The time after which the request may be admitted, in milliseconds, or undefined when it is admitted now.
     */
    admit(getFingerprints: () => readonly string[]): number | undefined {
        const wait = this.getWait(getFingerprints);
        if (wait !== undefined) {
            return wait;
        }
        const trialEnd = this.#options.clock.wall() + trialTimeoutMilliseconds;
        for (const { fingerprint } of this.#findQuarantined(getFingerprints)) {
            this.#trialEnds.set(fingerprint, trialEnd);
        }
        return undefined;
    }

    /** Returns what `admit` would return now, without admitting the request. */
    getWait(getFingerprints: () => readonly string[]): number | undefined {
        const quarantined = this.#findQuarantined(getFingerprints);
        if (quarantined.length === 0) {
            return undefined;
        }
        const now = this.#options.clock.wall();
        const wait = Math.max(
            ...quarantined.map(({ fingerprint, until }) =>
                Math.max(until, this.#trialEnds.get(fingerprint) ?? until) - now
            ),
        );
        const trialWait = wait + this.#options.getTrialRank(quarantined[0].fingerprint) * trialStepMilliseconds;
        if (trialWait > 0) {
            return Math.max(wait, minRetryAfterMilliseconds);
        }
        return undefined;
    }

    /** Returns whether any of a request's subjects is quarantined. */
    isQuarantined(getFingerprints: () => readonly string[]): boolean {
        return this.#findQuarantined(getFingerprints).length > 0;
    }

    /** Returns whether anything counts against one of a request's subjects. */
    isSuspect(getFingerprints: () => readonly string[]): boolean {
        return !this.#records.isEmpty() && getFingerprints().some(fingerprint => {
            const record = this.#records.get(fingerprint);
            return record !== undefined && getSuspicion(record) > 0;
        });
    }

    /** Returns the points of a subject. */
    getPoints(getFingerprint: () => string): number {
        return this.#records.isEmpty() ? 0 : this.#records.get(getFingerprint())?.points ?? 0;
    }

    /** Returns the points of a request's subjects, by fingerprint. Those of which nothing is known may be missing. */
    readPoints(getFingerprints: () => readonly string[]): ReadonlyMap<string, number> {
        const fingerprints = this.#records.isEmpty() ? [] : getFingerprints();
        return new Map(fingerprints.map(fingerprint => [fingerprint, this.getPoints(() => fingerprint)]));
    }

    /** Returns whether a subject has recently run at this node without a crash. */
    hasSurvived(fingerprint: string): boolean {
        return this.#survivals.has(fingerprint, this.#options.clock.monotonic());
    }

    /**
     * Adds a crash. Attempts that were in flight at the same time count once, whatever their number, and whenever their ends become known:
     * an outage of many upstreams, or a caller that sends the same request many times at once, would otherwise quarantine a harmless
     * request. So would a request without a body, which many callers of a workspace send: it is no suspect while such requests run to
     * their end.
     */
    addCrash(crash: SubjectCrash): void {
        const { clock, journal, policy } = this.#options;
        const { fingerprint, crashedAt, isLastAttempt } = crash;
        const known = this.#records.get(fingerprint);
        const crashPoints = this.#getCrashPoints(crash, known);
        const points = getPointsBefore(crash, known) + crashPoints;
        if (crashPoints === 0 || (known !== undefined && known.points >= points)) {
            return;
        }
        const cleared = known?.cleared ?? 0;
        const suspicion = points - cleared;
        const until = clock.wall() + getRetentionMilliseconds(suspicion, policy);
        this.#trialEnds.delete(fingerprint);
        const record = { fingerprint, points, cleared, until, crashedAt };
        this.#records.set(record);
        if (suspicion >= policy.sharedPoints || isLastAttempt) {
            this.#publish(record, { urgent: true });
        }
        if (suspicion >= policy.quarantinePoints) {
            const { subject } = policy;
            journal.write(events.requestQuarantined, { subject, fingerprint, points: suspicion, until });
            this.#options.onQuarantined();
            this.#store();
        }
    }

    /**
     * Records a run that crashed nothing, which disproves the suspicion against a subject.
     * @param points - The points up to which it does: later crashes may have a cause that the run did not meet.
     * @param beganAt - Wall-clock time at which the run began. It also disproves crashes from before that became known later.
     */
    addSurvival(fingerprint: string, points = Number.POSITIVE_INFINITY, beganAt = Number.NEGATIVE_INFINITY): void {
        this.#survivals.add(fingerprint, this.#options.clock.monotonic(), beganAt);
        const record = this.#records.get(fingerprint);
        if (record === undefined) {
            return;
        }
        const disproved = this.#isDisproved(fingerprint, record.crashedAt)
            ? record.points
            : Math.min(points, record.points);
        if (record.cleared < disproved) {
            this.#clear(record, disproved);
        }
    }

    /**
     * Adds the records of another node. Those of requests that have recently run to their end here are disproved. Quarantined ones
     * are published and stored by the first node that may try them as well, since the node that found them may end before they reach all others.
     */
    merge(records: readonly CrashRecord[]): void {
        for (const record of records) {
            this.#merge(record);
        }
    }

    #merge(record: CrashRecord): void {
        const { journal, policy, getTrialRank, onQuarantined } = this.#options;
        const { fingerprint } = record;
        const known = this.#records.get(fingerprint);
        const merged = known === undefined ? record : mergeCrashRecords(known, record);
        const isNew = known === undefined || merged.points > known.points || merged.cleared > known.cleared;
        const concernsQuarantine = isQuarantined(merged, policy)
            || (known !== undefined && isQuarantined(known, policy));
        this.#records.set(merged);
        if (isNew && isQuarantined(merged, policy)) {
            const { points, until } = merged;
            journal.write(events.quarantineLearned, { subject: policy.subject, fingerprint, points, until });
            onQuarantined();
        }
        const isExcused = (policy.isExcusedBySurvival && this.hasSurvived(fingerprint))
            || this.#isDisproved(fingerprint, merged.crashedAt);
        if (getSuspicion(merged) >= policy.sharedPoints && isExcused) {
            this.#clear(merged, merged.points);
        }
        else if (isNew && concernsQuarantine && getTrialRank(fingerprint) === 0) {
            this.#publish(merged, { urgent: false });
            this.#store();
        }
    }

    #getCrashPoints(
        { fingerprint, stage, isDoubtful, crashedAt }: SubjectCrash,
        known: CrashRecord | undefined,
    ): number {
        if (this.#isDisproved(fingerprint, crashedAt)) {
            return 0;
        }
        return this.#options.policy.getCrashPoints({
            stage,
            isDoubtful,
            suspicion: known === undefined ? 0 : getSuspicion(known),
            hasSurvived: this.hasSurvived(fingerprint),
            hasLikelierCause: this.#hasLikelierCause(fingerprint, crashedAt),
            isJustAfterLast: known?.crashedAt !== undefined && crashedAt < known.crashedAt + evidenceMilliseconds,
        });
    }

    /** Returns whether a run that ended well here began after a crash. */
    #isDisproved(fingerprint: string, crashedAt: number | undefined): boolean {
        return crashedAt !== undefined && this.#survivals.hasBegunAfter(fingerprint, crashedAt);
    }

    /**
     * Returns whether a subject that has recently run at this node without a crash comes along with the cause of a crash: one that has
     * not run so is quarantined. Crashes that come long after that have another cause.
     */
    #hasLikelierCause(fingerprint: string, crashedAt: number): boolean {
        const { policy } = this.#options;
        const mayExplain = (other: CrashRecord): boolean =>
            other.crashedAt === undefined || crashedAt < other.crashedAt + admittedMilliseconds;
        return this.hasSurvived(fingerprint)
            && this.#records.some(other =>
                isQuarantined(other, policy) && mayExplain(other) && !this.hasSurvived(other.fingerprint)
            );
    }

    #findQuarantined(getFingerprints: () => readonly string[]): readonly CrashRecord[] {
        if (this.#records.isEmpty()) {
            return [];
        }
        return getFingerprints()
            .map(fingerprint => this.#records.get(fingerprint))
            .filter(isDefined)
            .filter(record => isQuarantined(record, this.#options.policy));
    }

    #clear(record: CrashRecord, cleared: number): void {
        const { clock, journal, policy } = this.#options;
        const { fingerprint } = record;
        const suspicion = getSuspicion(record);
        const wasQuarantined = isQuarantined(record, policy);
        this.#trialEnds.delete(fingerprint);
        const isLifted = !isQuarantined({ ...record, cleared }, policy);
        const until = isLifted ? clock.wall() + suspicionMilliseconds : record.until;
        const clearedRecord = { ...record, cleared, until };
        this.#records.set(clearedRecord);
        if (suspicion >= policy.sharedPoints || this.#own.has(fingerprint)) {
            this.#publish(clearedRecord, { urgent: suspicion >= policy.urgentlyClearedPoints });
        }
        if (wasQuarantined && isLifted) {
            journal.write(events.quarantineLifted, { subject: policy.subject, fingerprint });
            this.#store();
        }
    }

    /**
     * Returns the records that this node publishes, and removes the others from its own. Those with the most points stay: a crash raises
     * suspicion against everything that had just begun to run.
     */
    #getOwn(): readonly CrashRecord[] {
        const records = [...this.#own].map(fingerprint => this.#records.get(fingerprint)).filter(isDefined);
        const kept = records.sort((left, right) => left.points - right.points).slice(-maxOwnRecords);
        this.#own.clear();
        for (const { fingerprint } of kept) {
            this.#own.add(fingerprint);
        }
        return kept;
    }

    /** Publishes a record together with those that this node has published before. */
    #publish({ fingerprint }: CrashRecord, options: { readonly urgent: boolean; }): void {
        this.#own.delete(fingerprint);
        this.#own.add(fingerprint);
        this.#options.publish(this.#getOwn(), options);
    }

    /** Stores the own records of what is quarantined, one write at a time, until that has succeeded. */
    #store(): void {
        this.#mustStore = true;
        if (!this.#isStoring) {
            void this.#storeUntilDone();
        }
    }

    async #storeUntilDone(): Promise<void> {
        this.#isStoring = true;
        while (this.#mustStore) {
            this.#mustStore = false;
            const records = this.#getOwn().filter(({ points }) => points >= this.#options.policy.quarantinePoints);
            if (!await this.#options.store(records)) {
                this.#mustStore = true;
                await new Promise(resolve => setTimeout(resolve, storeRetryMilliseconds).unref());
            }
        }
        this.#isStoring = false;
    }
}

/** Returns the points of the crashes after which a run began. */
function getPointsBefore({ pointsAtStart, beganAt }: SubjectCrash, known: CrashRecord | undefined): number {
    const hasBegunAfterAll = known?.crashedAt !== undefined && beganAt >= known.crashedAt + evidenceMilliseconds;
    return hasBegunAfterAll ? Math.max(pointsAtStart, known.points) : pointsAtStart;
}

function isDefined<Value>(value: Value | undefined): value is Value {
    return value !== undefined;
}
