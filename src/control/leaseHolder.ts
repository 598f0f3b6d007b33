/**
 * Takes and renews a lease, and determines when it no longer holds it.
 *
 * The holder counts the validity on its monotonic clock from before it wrote the record that renewed the lease, and
 * only after it has read that record back as accepted. Others wait for the term and the drift after they read the last
 * record. They start to count later than the holder and wait longer, so there is always a time without a holder between
 * two holders. A holder that was paused finds its lease expired at its next check. An order that it was about to send
 * may still be sent; the fencing token in the order guards against that.
 *
 * While the log is unavailable no renewal succeeds, all leases expire, and no node holds one.
 */
import { randomUUID } from "node:crypto";
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { AppendRecord } from "../log/logAccess.js";
import type { LogRecord } from "../log/record.js";
import type { LeaseFold, LeaseState } from "./leaseFold.js";
import { leaseFormat, leaseReleaseKind, leaseRenewKind, leaseTakeKind } from "./leaseRecord.js";

/** A holder renews its lease after this share of the term. */
const renewShare = 1 / 3;
const checkIntervalShare = 1 / 10;

/** Options of a holder. */
export interface LeaseHolderOptions {
    /** Name of the lease. */
    readonly name: string;
    /**
     * Name of the prospective holder, unique for each run of a process, so that a restarted process is a new holder.
     */
    readonly holder: string;
    readonly append: AppendRecord;
    /** The fold, to which its owner applies the `control` stream. */
    readonly fold: LeaseFold;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly termMilliseconds: number;
    /** Maximum difference between the clocks of two machines over a term. */
    readonly driftMilliseconds: number;
    /** Checks whether this node may take the lease now. A node that is leaving may not. */
    readonly isCandidate?: () => boolean;
}

interface SentRecord {
    readonly id: string;
    /** Monotonic time from before the append. */
    readonly sentAt: number;
}

/** Holds one lease, or tries to take it. */
export class LeaseHolder {
    readonly #options: LeaseHolderOptions;
    #timer: NodeJS.Timeout | undefined;
    #validUntil = Number.NEGATIVE_INFINITY;
    #fencingToken: number | undefined;
    /** The last record about the lease and when this node read it. Another holder's expiry is counted from then. */
    #lastObserved: { readonly offset: number | undefined; readonly since: number; };
    #sent: SentRecord[] = [];
    #isAppending = false;

    constructor(options: LeaseHolderOptions) {
        this.#options = options;
        this.#lastObserved = { offset: undefined, since: options.clock.monotonic() };
        options.fold.onChange(state => this.#handleChange(state));
    }

    /** Starts to take and renew the lease. */
    start(): void {
        this.#lastObserved = {
            offset: this.#options.fold.get(this.#options.name)?.lastOffset,
            since: this.#options.clock.monotonic(),
        };
        this.#timer ??= setInterval(() => void this.check(), this.#options.termMilliseconds * checkIntervalShare);
        this.#timer.unref();
    }

    /** Releases the lease, so that the next holder need not wait until it expires. */
    async stop(): Promise<void> {
        clearInterval(this.#timer);
        this.#timer = undefined;
        const fencingToken = this.getFencingToken();
        this.#fencingToken = undefined;
        if (fencingToken !== undefined) {
            await this.#append(leaseReleaseKind, { lease: this.#options.name, fence: fencingToken });
        }
    }

    /** Returns the fencing token while the lease is held, or undefined as soon as the lease may have expired. */
    getFencingToken(): number | undefined {
        return this.#options.clock.monotonic() < this.#validUntil ? this.#fencingToken : undefined;
    }

    /** Takes or renews the lease if it is due. Runs periodically after `start`. */
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

    /**
     * Checks whether the lease was released, was never taken, or was not renewed for longer than its term and drift.
     */
    #isFree(): boolean {
        const state = this.#options.fold.get(this.#options.name);
        if (state === undefined || state.isReleased) {
            return true;
        }
        if (this.#lastObserved.offset !== state.lastOffset) {
            // The record came from a snapshot, so its age is unknown and the waiting time starts now.
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
        // Read before the append, since the append may take effect at once while its answer or this process is delayed.
        const sentAt = this.#options.clock.monotonic();
        const { termMilliseconds } = this.#options;
        this.#sent = [...this.#sent.filter(sent => sentAt - sent.sentAt < termMilliseconds), { id, sentAt }];
        this.#isAppending = true;
        await this.#options.append("control", record);
        this.#isAppending = false;
    }
}
