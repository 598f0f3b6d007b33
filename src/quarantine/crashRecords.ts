/**
 * The records that one node holds, bounded in number.
 */
import type { Clock } from "../common/index.js";
import { type CrashRecord, getSuspicion } from "./crashRecord.js";
import { isExpired, isQuarantined, type SuspicionPolicy } from "./suspicion.js";

const maxRecords = 1_000;

/** Holds what a node knows about requests that may crash their upstreams. */
export class CrashRecords {
    readonly #clock: Clock;
    readonly #policy: SuspicionPolicy;
    /** By fingerprint, the one that was changed last at the end. */
    readonly #records = new Map<string, CrashRecord>();

    constructor(clock: Clock, policy: SuspicionPolicy) {
        this.#clock = clock;
        this.#policy = policy;
    }

    /** Returns whether there are none. */
    isEmpty(): boolean {
        return this.#records.size === 0;
    }

    /** Returns the number of requests that are quarantined. */
    countQuarantined(): number {
        return [...this.#records.values()].filter(record => isQuarantined(record, this.#policy)).length;
    }

    /** Returns the record of a request, or undefined when there is none or it no longer counts. */
    get(fingerprint: string): CrashRecord | undefined {
        const record = this.#records.get(fingerprint);
        if (record !== undefined && this.#isExpired(record, this.#clock.wall())) {
            this.#records.delete(fingerprint);
            return undefined;
        }
        return record;
    }

    /** Returns whether any record that counts meets a condition. */
    some(condition: (record: CrashRecord) => boolean): boolean {
        const now = this.#clock.wall();
        for (const record of this.#records.values()) {
            if (!this.#isExpired(record, now) && condition(record)) {
                return true;
            }
        }
        return false;
    }

    /** Adds or replaces a record. The records with the least suspicion make room for others. */
    set(record: CrashRecord): void {
        const { fingerprint } = record;
        this.#records.delete(fingerprint);
        this.#records.set(fingerprint, record);
        if (this.#records.size > maxRecords) {
            this.#removeExpired();
        }
        if (this.#records.size > maxRecords) {
            this.#removeLeastSuspect();
        }
    }

    #isExpired(record: CrashRecord, now: number): boolean {
        return isExpired(record, now, this.#policy);
    }

    #removeExpired(): void {
        const now = this.#clock.wall();
        for (const record of this.#records.values()) {
            if (this.#isExpired(record, now)) {
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
}
