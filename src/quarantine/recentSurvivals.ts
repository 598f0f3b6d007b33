/**
 * The requests that have recently run to their end at an upstream.
 */

/** How long a run that ended well counts. */
const retentionMilliseconds = 60_000;
/** Maximum number of requests in memory. */
const maxRequests = 10_000;

/** Remembers which requests have run without crashing their upstream. */
export class RecentSurvivals {
    /** Monotonic times of the last such run by fingerprint, the oldest first. */
    readonly #times = new Map<string, number>();

    /** Records a run that ended well. */
    add(fingerprint: string, now: number): void {
        this.#times.delete(fingerprint);
        this.#times.set(fingerprint, now);
        for (const [oldest, time] of this.#times) {
            if (this.#times.size <= maxRequests && now - time < retentionMilliseconds) {
                return;
            }
            this.#times.delete(oldest);
        }
    }

    /** Returns whether a request has recently run to its end. */
    has(fingerprint: string, now: number): boolean {
        const time = this.#times.get(fingerprint);
        return time !== undefined && now - time < retentionMilliseconds;
    }
}
