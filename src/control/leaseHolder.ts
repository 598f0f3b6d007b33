/**
 * Takes a lease, renews it and knows when it no longer holds it.
 *
 * The holder counts its validity from before it wrote the record that renewed the lease, on its monotonic clock, and
 * only once it has read that record back as accepted. Others wait for the term and the drift after they read the last
 * record, so they begin later than the holder and wait longer: between two holders there is always a time without one.
 * A holder that was paused finds its validity lapsed at its next look. An order that it was about to send may still go
 * out; the fencing number on the order is there for that.
 *
 * While the log is away no renewal comes through, every validity lapses, and nobody holds a lease.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { AppendRecord } from "../log/logAccess.js";
import type { LogRecord } from "../log/record.js";
import type { LeaseFold, LeaseState } from "./leaseFold.js";
import { leaseFormat, leaseReleaseKind, leaseRenewKind, leaseTakeKind } from "./leaseRecord.js";

/** A holder renews when this share of its term has passed. */
const renewShare = 1 / 3;
const checkIntervalShare = 1 / 10;

/** Options of a holder. */
export interface LeaseHolderOptions {
    /** Name of the lease. */
    readonly name: string;
    /** Who wants to hold it: unique for each run of a process, so that a restarted one is not taken for its old self. */
    readonly holder: string;
    readonly append: AppendRecord;
    /** Fed from the stream `control` by its owner. */
    readonly fold: LeaseFold;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly termMilliseconds: number;
    /** The most that two machines' clocks may differ over a term. */
    readonly driftMilliseconds: number;
    /** Tells whether this node may take the lease now, such as not while it is leaving. */
    readonly isCandidate?: () => boolean;
}

interface SentRecord {
    readonly id: string;
    /** Monotonic time from before the append. */
    readonly sentAt: number;
}

/** Holds one lease, or tries to. */
export class LeaseHolder {
    readonly #options: LeaseHolderOptions;
    #timer: NodeJS.Timeout | undefined;
    #validUntil = Number.NEGATIVE_INFINITY;
    #fencingToken: number | undefined;
    /** When this node last read a record about the lease, and which: others' validity is judged from then. */
    #lastObserved: { readonly offset: number | undefined; readonly since: number; };
    #sent: SentRecord[] = [];
    #isAppending = false;

    constructor(options: LeaseHolderOptions) {
        this.#options = options;
        this.#lastObserved = { offset: undefined, since: options.clock.monotonic() };
        options.fold.onChange(state => this.#handleChange(state));
    }

    /** Begins to take and renew the lease. */
    start(): void {
        this.#lastObserved = {
            offset: this.#options.fold.get(this.#options.name)?.lastOffset,
            since: this.#options.clock.monotonic(),
        };
        this.#timer ??= setInterval(() => void this.check(), this.#options.termMilliseconds * checkIntervalShare);
        this.#timer.unref();
    }

    /** Gives the lease up, so that the next holder need not wait for it to lapse. */
    async stop(): Promise<void> {
        clearInterval(this.#timer);
        this.#timer = undefined;
        const fencingToken = this.getFencingToken();
        this.#fencingToken = undefined;
        if (fencingToken !== undefined) {
            await this.#append(leaseReleaseKind, { lease: this.#options.name, fence: fencingToken });
        }
    }

    /** Returns the fencing number while the lease is held, or undefined as soon as it may have lapsed. */
    getFencingToken(): number | undefined {
        return this.#options.clock.monotonic() < this.#validUntil ? this.#fencingToken : undefined;
    }

    /** Takes or renews the lease if it is time to. Runs by itself after `start`. */
    async check(): Promise<void> {
        if (this.#isAppending) {
            return;
        }
        const { name, termMilliseconds } = this.#options;
        const fencingToken = this.getFencingToken();
        if (fencingToken === undefined) {
            this.#handleExpiry();
            await this.#takeIfFree();
            return;
        }
        const age = this.#options.clock.monotonic() - (this.#validUntil - termMilliseconds);
        if (age >= termMilliseconds * renewShare) {
            await this.#append(leaseRenewKind, { lease: name, fence: fencingToken });
        }
    }

    #handleExpiry(): void {
        if (this.#fencingToken !== undefined) {
            this.#options.journal.write(events.leaseLapsed, { lease: this.#options.name, fence: this.#fencingToken });
            this.#fencingToken = undefined;
        }
    }

    async #takeIfFree(): Promise<void> {
        const { name, holder, termMilliseconds, isCandidate } = this.#options;
        if (isCandidate?.() === false || !this.#isFree()) {
            return;
        }
        const supersedes = this.#options.fold.get(name)?.lastOffset;
        await this.#append(leaseTakeKind, { lease: name, holder, supersedes, termMilliseconds });
    }

    /** Tells whether the lease was released, never taken, or watched unrenewed for longer than its term and drift. */
    #isFree(): boolean {
        const state = this.#options.fold.get(this.#options.name);
        if (state === undefined || state.isReleased) {
            return true;
        }
        if (this.#lastObserved.offset !== state.lastOffset) {
            // A snapshot brought the record: nobody knows how old it is, so the watch begins now.
            this.#lastObserved = { offset: state.lastOffset, since: this.#options.clock.monotonic() };
        }
        const observedMilliseconds = this.#options.clock.monotonic() - this.#lastObserved.since;
        return observedMilliseconds > state.termMilliseconds + this.#options.driftMilliseconds;
    }

    #handleChange(state: LeaseState): void {
        if (state.lease !== this.#options.name) {
            return;
        }
        const now = this.#options.clock.monotonic();
        this.#lastObserved = { offset: state.lastOffset, since: now };
        const sent = this.#sent.find(record => record.id === state.lastRecordId);
        if (sent === undefined || state.isReleased) {
            this.#handleLoss(state);
            return;
        }
        this.#sent = this.#sent.filter(record => record.sentAt > sent.sentAt);
        if (this.#fencingToken !== state.fence) {
            this.#options.journal.write(events.leaseTaken, { lease: state.lease, fence: state.fence });
        }
        this.#fencingToken = state.fence;
        this.#validUntil = sent.sentAt + state.termMilliseconds;
    }

    #handleLoss(state: LeaseState): void {
        if (this.#fencingToken !== undefined && this.#fencingToken !== state.fence) {
            this.#options.journal.write(events.leaseLost, {
                lease: state.lease,
                fence: this.#fencingToken,
                to: state.holder,
            });
            this.#fencingToken = undefined;
            this.#validUntil = Number.NEGATIVE_INFINITY;
        }
    }

    async #append(kind: string, body: unknown): Promise<void> {
        const id = randomUUID();
        const record: LogRecord = { id, kind, format: leaseFormat, writer: this.#options.holder, body };
        // Taken before the append: an append may take effect at once and its answer, or this process, stand still after.
        const sentAt = this.#options.clock.monotonic();
        const { termMilliseconds } = this.#options;
        this.#sent = [...this.#sent.filter(sent => sentAt - sent.sentAt < termMilliseconds), { id, sentAt }];
        this.#isAppending = true;
        await this.#options.append("control", record);
        this.#isAppending = false;
    }
}
