/**
 * The versions that serve the recent sessions of this node.
 */

/** Maximum number of sessions in memory. */
const maxSessions = 20_000;

interface RecentSession {
    /** The version that its last request was sent to. */
    readonly version: string;
    /** Requests of the session that are in flight at this node. */
    readonly inFlight: number;
    /** Monotonic milliseconds at which a request of the session last started or ended. */
    readonly lastActiveAt: number;
}

/** Tracks a session while its requests are in flight at this node, and for some time after their end. */
export class RecentSessions {
    readonly #retentionMilliseconds: number;
    /** Sorted by last activity, the least recent first. */
    readonly #sessions = new Map<string, RecentSession>();

    /** @param retentionMilliseconds - How long a session is retained after the end of its last request. */
    constructor(retentionMilliseconds: number) {
        this.#retentionMilliseconds = retentionMilliseconds;
    }

    /** Records that a request of a session is sent to a version. */
    startRequest(session: string, version: string, now: number): void {
        const known = this.#sessions.get(session);
        this.#set(session, { version, inFlight: (known?.inFlight ?? 0) + 1, lastActiveAt: now });
        this.#removeExpired(now);
    }

    /** Records that a request of a session has ended. */
    endRequest(session: string, now: number): void {
        const known = this.#sessions.get(session);
        if (known !== undefined) {
            this.#set(session, {
                version: known.version,
                inFlight: Math.max(0, known.inFlight - 1),
                lastActiveAt: now,
            });
        }
    }

    /** Returns the sessions whose last request went to another version than the given one. */
    getSessionsOnOtherVersions(version: string, now: number): readonly string[] {
        this.#removeExpired(now);
        return [...this.#sessions].filter(([, known]) => known.version !== version).map(([session]) => session);
    }

    #set(session: string, known: RecentSession): void {
        this.#sessions.delete(session);
        this.#sessions.set(session, known);
    }

    #removeExpired(now: number): void {
        for (const [session, { inFlight, lastActiveAt }] of this.#sessions) {
            const isFull = this.#sessions.size > maxSessions;
            if (!isFull && now - lastActiveAt <= this.#retentionMilliseconds) {
                return;
            }
            if (isFull || inFlight === 0) {
                this.#sessions.delete(session);
            }
        }
    }
}
