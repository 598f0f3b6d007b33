/**
 * Which upstreams are asked for their load next, within a bound that does not grow with their number.
 *
 * Asking each of a subset of 30 twice a second took 6.6% of a core, three times what a node may spend on control as a
 * whole. The load of the runners in use comes with their answers; the others can wait for their turn.
 */

/** Answers put a question off for no longer than this: they carry the load, but not the versions or the leaving. */
const maxPostponementMilliseconds = 2_000;
/** Rarer reports cost more of the first token's time than rarer cache events do, see the measurement `load`. */
const pollsForCacheEvents = 4;
const millisecondsPerSecond = 1_000;
/** Keeps a sum of fractions from missing the next whole question by a rounding error. */
const roundingTolerance = 1e-9;

/** An upstream that may be asked. */
export interface PollCandidate {
    readonly id: string;
    /** Monotonic milliseconds at which an answer last carried its load. */
    readonly answeredAt: number | undefined;
    /** It has not answered the last question yet. */
    readonly isPending: boolean;
}

/** A question to an upstream. */
export interface Poll {
    readonly id: string;
    /** Whether its cache events are to be read as well. */
    readonly hasCacheEvents: boolean;
}

interface PollRecord {
    readonly polledAt: number;
    readonly count: number;
}

/** Options of a schedule. */
export interface PollScheduleOptions {
    /** Bound on the questions a second. */
    readonly pollsPerSecond: number;
    /** An upstream is asked no more often than this. */
    readonly intervalMilliseconds: number;
}

/** Spreads a bounded number of questions over the upstreams: longest unheard first. */
export class PollSchedule {
    readonly #options: PollScheduleOptions;
    readonly #records = new Map<string, PollRecord>();
    #allowance = 0;
    #refilledAt: number | undefined;

    constructor(options: PollScheduleOptions) {
        this.#options = options;
    }

    /**
     * Takes the upstreams to ask now. One that was never asked is always among them: nobody knows its versions yet, and
     * callers would be refused although there is room.
     * @param candidates - All upstreams that may be asked.
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

    /** What was not used up is kept for a second only: a node that was paused must not ask everybody at once. */
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

    /** Returns when the upstream was last heard; never asked counts as just now, for it is taken anyway. */
    #getLastSeenAt({ id, answeredAt }: PollCandidate): number {
        const polledAt = this.#records.get(id)?.polledAt ?? Number.POSITIVE_INFINITY;
        return Math.max(polledAt, Math.min(answeredAt ?? polledAt, polledAt + maxPostponementMilliseconds));
    }
}
