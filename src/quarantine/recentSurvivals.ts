/**
 * The requests that have recently run to their end at an upstream.
 */

/** How long a run that ended well counts. */
const retentionMilliseconds = 60_000;
/** Maximum number of requests in memory. */
const maxRequests = 10_000;

/** The last runs that ended well. */
interface Survival {
    /** Monotonic time at which this was known. */
    readonly knownAt: number;
    /** Wall-clock time at which the last one of these runs began, in milliseconds since the Unix epoch. */
    readonly beganAt: number;
}

/** Remembers which requests have run without crashing their upstream. */
export class RecentSurvivals {
    /** By fingerprint, the one that was known first at the beginning. */
    readonly #survivals = new Map<string, Survival>();

    /**
     * Records a run that ended well.
     * @param now - Monotonic time.
     * @param beganAt - Wall-clock time at which the run began.
     */
    add(fingerprint: string, now: number, beganAt: number): void {
        const last = this.#survivals.get(fingerprint);
        this.#survivals.delete(fingerprint);
        this.#survivals.set(fingerprint, { knownAt: now, beganAt: Math.max(beganAt, last?.beganAt ?? beganAt) });
        for (const [oldest, { knownAt }] of this.#survivals) {
            if (this.#survivals.size <= maxRequests && now - knownAt < retentionMilliseconds) {
                return;
            }
            this.#survivals.delete(oldest);
        }
    }

    /** Returns whether a request has recently run to its end. */
    has(fingerprint: string, now: number): boolean {
        const survival = this.#survivals.get(fingerprint);
        return survival !== undefined && now - survival.knownAt < retentionMilliseconds;
    }

    /** Returns whether a run that ended well began after a wall-clock time. */
    hasBegunAfter(fingerprint: string, time: number): boolean {
        const survival = this.#survivals.get(fingerprint);
        return survival !== undefined && survival.beganAt > time;
    }
}
