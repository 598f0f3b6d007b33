/**
 * Stops requests that crash the upstreams that run them from being sent again by any node.
 *
 * Such a request comes back, with another identifier and at another node. If each attempt of its caller starts from
 * nothing, it crashes upstreams until none is left, and each crash also cuts off every other answer of that upstream.
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
    pointsByStage,
    quarantinePoints,
    urgentPoints,
} from "./suspicion.js";

/** Time within which a trial has shown whether the request crashes its upstream, in milliseconds. Until then there is no other. */
const trialTimeoutMilliseconds = 30_000;
/** Maximum number of requests that one node publishes or stores. */
const maxOwnRecords = 64;
const storeRetryMilliseconds = 1_000;
/** Time after which another request may find the trial of a quarantined one ended. */
const minRetryAfterMilliseconds = 1_000;

/** Options of `Quarantine`. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** Sends this node's records to the other nodes, at once if urgent. */
    readonly publish: (records: readonly CrashRecord[], options: { readonly urgent: boolean; }) => void;
    /** Stores this node's records of quarantined requests outside of the nodes. Resolves to whether that succeeded. */
    readonly store: (records: readonly CrashRecord[]) => Promise<boolean>;
    /** Returns whether this node is the one that tries a request after its quarantine. */
    readonly isTrialNode: (fingerprint: string) => boolean;
}

/** A crash of an upstream that a request was sent to. */
export interface RequestCrash {
    readonly fingerprint: string;
    /** The request's points when it was sent to the upstream. */
    readonly pointsAtStart: number;
    readonly stage: CrashStage;
    /** Whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: boolean;
}

/** Knows which requests crash upstreams, from this node's own calls and from the records of the other nodes. */
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
        this.#records = new CrashRecords(options.clock);
    }

    /** Returns the number of requests that are quarantined. */
    countQuarantined(): number {
        return this.#records.countQuarantined();
    }

    /**
     * Admits a request that is about to be sent to an upstream. A request whose quarantine is over is admitted once, at one node.
     * @param getFingerprint - Called only if any request is suspect, since it reads the whole body.
     * @returns The time after which the request may be admitted, in milliseconds, or undefined when it is admitted now.
     */
    admit(getFingerprint: () => string): number | undefined {
        const record = this.#find(getFingerprint);
        if (record === undefined || !isQuarantined(record)) {
            return undefined;
        }
        const now = this.#options.clock.wall();
        const { fingerprint, until } = record;
        const trialEnd = this.#trialEnds.get(fingerprint) ?? until;
        if (now >= until && now >= trialEnd && this.#options.isTrialNode(fingerprint)) {
            this.#trialEnds.set(fingerprint, now + trialTimeoutMilliseconds);
            return undefined;
        }
        return Math.max(until - now, trialEnd - now, minRetryAfterMilliseconds);
    }

    /** Returns the points of a request that is about to be sent to an upstream. */
    getPoints(getFingerprint: () => string): number {
        return this.#find(getFingerprint)?.points ?? 0;
    }

    /**
     * Adds a crash. Attempts that were in flight at the same time count once, whatever their number: an outage of many upstreams, or
     * a caller that sends the same request many times at once, would otherwise quarantine a harmless request. So would a request
     * without a body, which many callers of a workspace send: it is no suspect while such requests run to their end.
     */
    addCrash({ fingerprint, pointsAtStart, stage, isLastAttempt }: RequestCrash): void {
        if (this.#hasSurvived(fingerprint)) {
            return;
        }
        const known = this.#records.get(fingerprint);
        const points = pointsAtStart + pointsByStage[stage];
        if (known !== undefined && known.points >= points) {
            return;
        }
        const cleared = known?.cleared ?? 0;
        const suspicion = points - cleared;
        const until = this.#options.clock.wall() + getRetentionMilliseconds(suspicion);
        this.#trialEnds.delete(fingerprint);
        const record = { fingerprint, points, cleared, until };
        this.#records.set(record);
        if (suspicion >= urgentPoints || isLastAttempt) {
            this.#publish(record, { urgent: true });
        }
        if (suspicion >= quarantinePoints) {
            this.#options.journal.write(events.requestQuarantined, { fingerprint, points: suspicion, until });
            this.#store();
        }
    }

    /** Records that a request ran to its end, which disproves the suspicion against it. */
    addSurvival(fingerprint: string): void {
        this.#survivals.add(fingerprint, this.#options.clock.monotonic());
        const record = this.#records.get(fingerprint);
        if (record !== undefined && getSuspicion(record) > 0) {
            this.#clear(record);
        }
    }

    /**
     * Adds the records of another node. Those of requests that have recently run to their end here are disproved. Quarantined ones
     * are published and stored by the trial node as well, since the node that found them may end before they reach all others.
     */
    merge(records: readonly CrashRecord[]): void {
        for (const record of records) {
            this.#merge(record);
        }
    }

    #merge(record: CrashRecord): void {
        const { fingerprint } = record;
        const known = this.#records.get(fingerprint);
        const merged = known === undefined ? record : mergeCrashRecords(known, record);
        const isNew = known === undefined || merged.points > known.points || merged.cleared > known.cleared;
        const concernsQuarantine = isQuarantined(merged) || (known !== undefined && isQuarantined(known));
        this.#records.set(merged);
        if (isNew && isQuarantined(merged)) {
            const { points, until } = merged;
            this.#options.journal.write(events.quarantineLearned, { fingerprint, points, until });
        }
        if (getSuspicion(merged) >= urgentPoints && this.#hasSurvived(fingerprint)) {
            this.#clear(merged);
        }
        else if (isNew && concernsQuarantine && this.#options.isTrialNode(fingerprint)) {
            this.#publish(merged, { urgent: false });
            this.#store();
        }
    }

    #find(getFingerprint: () => string): CrashRecord | undefined {
        return this.#records.isEmpty() ? undefined : this.#records.get(getFingerprint());
    }

    #hasSurvived(fingerprint: string): boolean {
        return this.#survivals.has(fingerprint, this.#options.clock.monotonic());
    }

    #clear(record: CrashRecord): void {
        this.#trialEnds.delete(record.fingerprint);
        const wasQuarantined = isQuarantined(record);
        const clearedRecord = { ...record, cleared: record.points };
        this.#records.set(clearedRecord);
        if (getSuspicion(record) >= urgentPoints || this.#own.has(record.fingerprint)) {
            this.#publish(clearedRecord, { urgent: wasQuarantined });
        }
        if (wasQuarantined) {
            this.#options.journal.write(events.quarantineLifted, { fingerprint: record.fingerprint });
            this.#store();
        }
    }

    /** Returns the latest records that this node publishes, and removes the others from its own. */
    #getOwn(): readonly CrashRecord[] {
        const records = [...this.#own].map(fingerprint => this.#records.get(fingerprint)).filter(isDefined);
        const latest = records.slice(-maxOwnRecords);
        this.#own.clear();
        for (const { fingerprint } of latest) {
            this.#own.add(fingerprint);
        }
        return latest;
    }

    /** Publishes a record together with those that this node has published before. */
    #publish({ fingerprint }: CrashRecord, options: { readonly urgent: boolean; }): void {
        this.#own.delete(fingerprint);
        this.#own.add(fingerprint);
        this.#options.publish(this.#getOwn(), options);
    }

    /** Stores the own records of quarantined requests, one write at a time, until that has succeeded. */
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
            const records = this.#getOwn().filter(({ points }) => points >= quarantinePoints);
            if (!await this.#options.store(records)) {
                this.#mustStore = true;
                await new Promise(resolve => setTimeout(resolve, storeRetryMilliseconds).unref());
            }
        }
        this.#isStoring = false;
    }
}

function isDefined<Value>(value: Value | undefined): value is Value {
    return value !== undefined;
}
