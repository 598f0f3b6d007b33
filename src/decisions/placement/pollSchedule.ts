/**
 * Schedule of load polls, with a rate limit that does not grow with the number of upstreams.
 *
 * Polling each of a subset of 30 upstreams twice a second took 6.6% of a core, three times what a node may spend on control as a
 * whole. The load of the runners in use is reported with their answers; the others can wait for their turn.
 */

/**
 * Maximum time by which answers postpone a poll. Answers carry the load, but neither the versions nor whether the upstream is about
 * to leave.
 */
const maxPostponementMilliseconds = 2_000;
/**
 * Number of polls per read of the cache events. Rarer load reports increase the time to first token more than rarer cache events
 * do, see the measurement `load`.
 */
const pollsForCacheEvents = 4;
const millisecondsPerSecond = 1_000;
/** Prevents a rounding error in the sum of fractions from delaying a poll. */
const roundingTolerance = 1e-9;

/** Represents an upstream that may be polled. */
export interface PollCandidate {
    readonly id: string;
    /** Time in monotonic milliseconds at which an answer last carried the upstream's load. */
    readonly answeredAt: number | undefined;
    /** Whether the last poll has not been answered yet. */
    readonly isPending: boolean;
}

/** Represents a poll of an upstream. */
export interface Poll {
    readonly id: string;
    /** Whether the upstream's cache events are read as well. */
    readonly hasCacheEvents: boolean;
}

interface PollRecord {
    readonly polledAt: number;
    readonly count: number;
}

/** Options of a poll schedule. */
export interface PollScheduleOptions {
    /** Maximum number of polls per second. */
    readonly pollsPerSecond: number;
    /** Minimum time between two polls of an upstream. */
    readonly intervalMilliseconds: number;
}

/** Distributes a limited number of polls over the upstreams. Those that were seen least recently come first. */
export class PollSchedule {
    readonly #options: PollScheduleOptions;
    readonly #records = new Map<string, PollRecord>();
    #allowance = 0;
    #refilledAt: number | undefined;

    constructor(options: PollScheduleOptions) {
        this.#options = options;
    }

    /**
     * Takes the polls that are due. An upstream that was never polled is always among them: its versions are not known yet, and callers
     * would be refused although it has free capacity.
     * @param candidates - All upstreams that may be polled.
     * @param now - Monotonic milliseconds.
     */
    take(candidates: readonly PollCandidate[], now: number): readonly Poll[] {
        this.#refill(now);
        this.#removeUnlisted(candidates);
        const unknown = candidates.filter(({ id }) => !this.#records.has(id));
        const due = candidates
            .filter(({ isPending }) => !isPending)
            .map(candidate => ({ id: candidate.id, since: this.#getLastSeenAt(candidate) }))
            .filter(({ since }) => now - since >= this.#options.intervalMilliseconds)
            .sort((left, right) => left.since - right.since)
            .slice(0, Math.floor(this.#allowance + roundingTolerance));
        this.#allowance -= due.length;
        return [...unknown, ...due].map(({ id }) => this.#poll(id, now));
    }

    #poll(id: string, now: number): Poll {
        const count = this.#records.get(id)?.count ?? 0;
        this.#records.set(id, { polledAt: now, count: count + 1 });
        return { id, hasCacheEvents: count % pollsForCacheEvents === 0 };
    }

    /** Refills the allowance, up to one second's worth: a node that was paused must not poll all upstreams at once. */
    #refill(now: number): void {
        const { pollsPerSecond } = this.#options;
        const refilled = (now - (this.#refilledAt ?? now)) * pollsPerSecond / millisecondsPerSecond;
        this.#allowance = Math.min(this.#allowance + refilled, Math.max(1, pollsPerSecond));
        this.#refilledAt = now;
    }

    #removeUnlisted(candidates: readonly PollCandidate[]): void {
        const listed = new Set(candidates.map(({ id }) => id));
        for (const id of this.#records.keys()) {
            if (!listed.has(id)) {
                this.#records.delete(id);
            }
        }
    }

    /** Returns when the upstream was last seen, or infinity if it was never polled, since `take` includes it anyway. */
    #getLastSeenAt({ id, answeredAt }: PollCandidate): number {
        const polledAt = this.#records.get(id)?.polledAt ?? Number.POSITIVE_INFINITY;
        return Math.max(polledAt, Math.min(answeredAt ?? polledAt, polledAt + maxPostponementMilliseconds));
    }
}
