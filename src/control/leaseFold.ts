/**
 * Determines the holder of each lease from the order of the log.
 *
 * The log has no conditional append. Therefore a take names the record that it supersedes, and only the first take that
 * names the newest record is accepted. A renewal is a newer record: a take that was decided before the renewal and
 * arrives after it names the wrong record and is rejected. The offset of the accepted take is the fencing token, which
 * therefore only grows.
 */
import type { LogEntry } from "../log/record.js";
import { leaseReleaseKind, leaseRenewKind, leaseRenewSchema, leaseTakeKind, leaseTakeSchema } from "./leaseRecord.js";

/** The folded state of a lease. */
export interface LeaseState {
    readonly lease: string;
    readonly holder: string;
    /** Offset of the accepted take, which is the fencing token. */
    readonly fence: number;
    /** Offset of the newest accepted record about the lease. */
    readonly lastOffset: number;
    /** Identifier of that record. */
    readonly lastRecordId: string;
    readonly termMilliseconds: number;
    readonly isReleased: boolean;
}

/** Receives a lease that has changed. */
export type LeaseListener = (state: LeaseState) => void;

/** Folds the records about leases. */
export class LeaseFold {
    readonly #leases = new Map<string, LeaseState>();
    readonly #listeners: LeaseListener[] = [];
    #offset = -1;

    /** Returns the last folded offset, or -1. */
    getOffset(): number {
        return this.#offset;
    }

    /**
     * Adds a listener for changes.
     * @param listener - Called after each accepted record.
     */
    onChange(listener: LeaseListener): void {
        this.#listeners.push(listener);
    }

    /**
     * Returns a lease.
     * @param lease - Its name.
     */
    get(lease: string): LeaseState | undefined {
        return this.#leases.get(lease);
    }

    /**
     * Checks whether a fencing token is the current one of its lease. Orders with an older one come from a former
     * holder.
     * @param lease - The lease's name.
     * @param fencingToken - The fencing token.
     */
    isCurrentFencingToken(lease: string, fencingToken: number): boolean {
        return this.#leases.get(lease)?.fence === fencingToken;
    }

    /**
     * Folds an entry. Entries of other kinds, and those at or before the folded offset, are ignored.
     * @param entry - The next entry of the stream.
     */
    apply(entry: LogEntry): void {
        if (entry.offset <= this.#offset) {
            return;
        }
        this.#offset = entry.offset;
        const changed = this.#fold(entry);
        if (changed === undefined) {
            return;
        }
        this.#leases.set(changed.lease, changed);
        for (const listener of this.#listeners) {
            listener(changed);
        }
    }

    /** Returns all leases, for a snapshot of the stream. */
    getSnapshot(): readonly LeaseState[] {
        return [...this.#leases.values()];
    }

    /**
     * Restores the leases of a snapshot. A snapshot that is not newer than the fold is ignored.
     * @param offset - The offset that the snapshot covers.
     * @param leases - The leases.
     */
    restore(offset: number, leases: readonly LeaseState[]): void {
        if (offset <= this.#offset) {
            return;
        }
        this.#offset = offset;
        for (const lease of leases) {
            this.#leases.set(lease.lease, lease);
        }
    }

    #fold(entry: LogEntry): LeaseState | undefined {
        switch (entry.record.kind) {
            case leaseTakeKind:
                return this.#applyTake(entry);
            case leaseRenewKind:
                return this.#applyRenewal(entry, false);
            case leaseReleaseKind:
                return this.#applyRenewal(entry, true);
            default:
                return undefined;
        }
    }

    #applyTake({ offset, record }: LogEntry): LeaseState | undefined {
        const take = leaseTakeSchema.safeParse(record.body);
        if (!take.success || take.data.supersedes !== this.#leases.get(take.data.lease)?.lastOffset) {
            return undefined;
        }
        const { lease, holder, termMilliseconds } = take.data;
        return {
            lease,
            holder,
            fence: offset,
            lastOffset: offset,
            lastRecordId: record.id,
            termMilliseconds,
            isReleased: false,
        };
    }

    #applyRenewal({ offset, record }: LogEntry, isReleased: boolean): LeaseState | undefined {
        const renewal = leaseRenewSchema.safeParse(record.body);
        const state = renewal.success ? this.#leases.get(renewal.data.lease) : undefined;
        if (!renewal.success || state === undefined || state.fence !== renewal.data.fence || state.isReleased) {
            return undefined;
        }
        return { ...state, lastOffset: offset, lastRecordId: record.id, isReleased };
    }
}
