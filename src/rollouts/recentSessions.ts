/**
 * Which version serves the sessions that this node has seen lately.
 */

/** Sessions that are remembered, at most. */
const maxSessions = 20_000;

interface RecentSession {
    /** The version that its last request went to. */
    readonly version: string;
    /** Requests of the session that are at work here. */
    readonly inFlight: number;
    /** Monotonic milliseconds at which a request of it last began or ended. */
    readonly lastActiveAt: number;
}

/** Remembers a session while its requests are at work here, and for a while after their end. */
export class RecentSessions {
    readonly #retentionMilliseconds: number;
    /** The one that was noted longest ago comes first. */
    readonly #sessions = new Map<string, RecentSession>();

    /** @param retentionMilliseconds - How long after the end. */
    constructor(retentionMilliseconds: number) {
        this.#retentionMilliseconds = retentionMilliseconds;
    }

    /** Notes that a request of a session goes to a version. */
    startRequest(session: string, version: string, now: number): void {
        const known = this.#sessions.get(session);
        this.#set(session, { version, inFlight: (known?.inFlight ?? 0) + 1, lastActiveAt: now });
        this.#removeExpired(now);
    }

    /** Notes that a request of a session has ended. */
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
