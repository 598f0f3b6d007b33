/**
 * Stops requests that crash the upstreams that run them from being sent again by any node.
 *
 * Such a request comes back, with another identifier and at another node. If each attempt of its caller starts from
 * nothing, it crashes upstreams until none is left, and each crash also cuts off every other answer of that upstream.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { type CrashRecord, getSuspicion, mergeCrashRecords } from "./crashRecord.js";

/**
 * How far a request had come when its upstream crashed. While it was only waiting, it is less likely to be the cause.
 */
export type CrashStage = "running" | "waiting";

const pointsByStage: Readonly<Record<CrashStage, number>> = { running: 2, waiting: 1 };
/** Suspicion from which a request is sent to no upstream: three crashes as it began to run. */
const quarantinePoints = 3 * pointsByStage.running;
/** Suspicion from which the other nodes are told at once. A single crash makes all requests of its upstream suspects. */
const urgentPoints = 2 * pointsByStage.running;
/** How long a suspicion is remembered, and how long the first quarantine of a request lasts. */
const firstQuarantineMilliseconds = 10 * 60_000;
/** After a quarantine the request is tried again. If it crashes its upstream, the next one is this many times longer. */
const quarantineGrowth = 8;
const maxQuarantineMilliseconds = 24 * 3_600_000;
/** How long a request is remembered after a quarantine, so that a single further crash starts the next one. */
const trialMilliseconds = 24 * 3_600_000;
/** Maximum numbers of requests in memory, and of requests that one node publishes or stores. */
const maxRecords = 1_000;
const maxOwnRecords = 64;
const storeRetryMilliseconds = 1_000;

/** Options of `Quarantine`. */
export interface QuarantineOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** Sends this node's records to the other nodes, at once if urgent. */
    readonly publish: (records: readonly CrashRecord[], options: { readonly urgent: boolean; }) => void;
    /** Stores this node's records of quarantined requests outside of the nodes. Resolves to whether that succeeded. */
    readonly store: (records: readonly CrashRecord[]) => Promise<boolean>;
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
    readonly #records = new Map<string, CrashRecord>();
    /** Fingerprints of the records that this node has changed, in the order of their last change. */
    readonly #own = new Set<string>();
    #isStoring = false;
    #mustStore = false;

    constructor(options: QuarantineOptions) {
        this.#options = options;
    }

    /** Returns the number of requests that are quarantined. */
    countQuarantined(): number {
        return [...this.#records.values()].filter(record => this.#isQuarantined(record)).length;
    }

    /**
     * Returns how long a request stays quarantined, in milliseconds, or undefined when it may be sent to an upstream.
     * @param getFingerprint - Called only if any request is suspect, since it reads the whole body.
     */
    getTimeLeft(getFingerprint: () => string): number | undefined {
        const record = this.#find(getFingerprint);
        return record !== undefined && this.#isQuarantined(record)
            ? record.until - this.#options.clock.wall()
            : undefined;
    }

    /** Returns the points of a request that is about to be sent to an upstream. */
    getPoints(getFingerprint: () => string): number {
        return this.#find(getFingerprint)?.points ?? 0;
    }

    /**
     * Adds a crash. Attempts that were in flight at the same time count once, whatever their number: an outage of many upstreams, or
     * a caller that sends the same request many times at once, would otherwise quarantine a harmless request.
     */
    addCrash({ fingerprint, pointsAtStart, stage, isLastAttempt }: RequestCrash): void {
        const known = this.#records.get(fingerprint);
        const points = pointsAtStart + pointsByStage[stage];
        if (known !== undefined && known.points >= points) {
            return;
        }
        const cleared = known?.cleared ?? 0;
        const suspicion = points - cleared;
        const until = this.#options.clock.wall() + getRetentionMilliseconds(suspicion);
        this.#setOwn({ fingerprint, points, cleared, until });
        this.#publish(suspicion >= urgentPoints || isLastAttempt);
        if (suspicion >= quarantinePoints) {
            this.#options.journal.write(events.requestQuarantined, { fingerprint, points: suspicion, until });
            this.#store();
        }
    }

    /** Records that a request ran without crashing its upstream, which disproves the suspicion against it. */
    addSurvival(getFingerprint: () => string): void {
        const record = this.#find(getFingerprint);
        if (record === undefined || getSuspicion(record) === 0) {
            return;
        }
        const isStored = getSuspicion(record) >= quarantinePoints;
        this.#setOwn({ ...record, cleared: record.points });
        this.#publish(isStored);
        if (isStored) {
            this.#options.journal.write(events.quarantineLifted, { fingerprint: record.fingerprint });
            this.#store();
        }
    }

    /** Adds the records of another node. */
    merge(records: readonly CrashRecord[]): void {
        for (const record of records) {
            const known = this.#records.get(record.fingerprint);
            this.#set(known === undefined ? record : mergeCrashRecords(known, record));
        }
    }

    /** Adds the records that this node stored before it was restarted. */
    restore(records: readonly CrashRecord[]): void {
        this.merge(records);
        for (const { fingerprint } of records) {
            this.#own.add(fingerprint);
        }
    }

    #find(getFingerprint: () => string): CrashRecord | undefined {
        const record = this.#records.size === 0 ? undefined : this.#records.get(getFingerprint());
        if (record !== undefined && this.#isExpired(record)) {
            this.#records.delete(record.fingerprint);
            return undefined;
        }
        return record;
    }

    #isExpired(record: CrashRecord): boolean {
        const trial = getSuspicion(record) >= quarantinePoints ? trialMilliseconds : 0;
        return this.#options.clock.wall() >= record.until + trial;
    }

    #isQuarantined(record: CrashRecord): boolean {
        return getSuspicion(record) >= quarantinePoints && this.#options.clock.wall() < record.until;
    }

    #setOwn(record: CrashRecord): void {
        this.#own.delete(record.fingerprint);
        this.#own.add(record.fingerprint);
        this.#set(record);
    }

    #set(record: CrashRecord): void {
        this.#records.delete(record.fingerprint);
        this.#records.set(record.fingerprint, record);
        if (this.#records.size > maxRecords) {
            this.#removeExpired();
        }
        if (this.#records.size > maxRecords) {
            this.#removeLeastSuspect();
        }
    }

    #removeExpired(): void {
        for (const record of this.#records.values()) {
            if (this.#isExpired(record)) {
                this.#records.delete(record.fingerprint);
            }
        }
    }

    /** Removes the record with the least suspicion, the oldest among equals. */
    #removeLeastSuspect(): void {
        let least: CrashRecord | undefined;
        for (const record of this.#records.values()) {
            if (least === undefined || getSuspicion(record) < getSuspicion(least)) {
                least = record;
            }
        }
        if (least !== undefined) {
            this.#records.delete(least.fingerprint);
        }
    }

    /** Returns the latest records that this node has changed, and removes the others from its own. */
    #getOwn(): readonly CrashRecord[] {
        const records = [...this.#own].map(fingerprint => this.#records.get(fingerprint)).filter(isDefined);
        const latest = records.slice(-maxOwnRecords);
        this.#own.clear();
        for (const { fingerprint } of latest) {
            this.#own.add(fingerprint);
        }
        return latest;
    }

    #publish(urgent: boolean): void {
        this.#options.publish(this.#getOwn(), { urgent });
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

function getRetentionMilliseconds(suspicion: number): number {
    const repeats = Math.max(0, (suspicion - quarantinePoints) / pointsByStage.running);
    return Math.min(maxQuarantineMilliseconds, firstQuarantineMilliseconds * quarantineGrowth ** repeats);
}

function isDefined<Value>(value: Value | undefined): value is Value {
    return value !== undefined;
}
