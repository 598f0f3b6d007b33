/**
 * Which version serves the sessions that this node has seen lately.
 */

/** Sessions that are remembered, at most. */
const mostSessions = 20_000;

interface KnownSession {
    /** The version that its last request went to. */
    readonly version: string;
    /** Requests of the session that are at work here. */
    readonly atWork: number;
    /** Monotonic milliseconds at which a request of it last began or ended. */
    readonly at: number;
}

/** Remembers a session while its requests are at work here, and for a while after their end. */
export class SessionMemory {
    readonly #keepMilliseconds: number;
    /** The one that was noted longest ago comes first. */
    readonly #sessions = new Map<string, KnownSession>();

    /** @param keepMilliseconds - How long after the end. */
    constructor(keepMilliseconds: number) {
        this.#keepMilliseconds = keepMilliseconds;
    }

    /** Notes that a request of a session goes to a version. */
    begin(session: string, version: string, now: number): void {
        const known = this.#sessions.get(session);
        this.#set(session, { version, atWork: (known?.atWork ?? 0) + 1, at: now });
        this.#forgetOld(now);
    }

    /** Notes that a request of a session has ended. */
    end(session: string, now: number): void {
        const known = this.#sessions.get(session);
        if (known !== undefined) {
            this.#set(session, { version: known.version, atWork: Math.max(0, known.atWork - 1), at: now });
        }
    }

    /** Returns the sessions whose last request went to another version than the given one. */
    getOthers(version: string, now: number): readonly string[] {
        this.#forgetOld(now);
        return [...this.#sessions].filter(([, known]) => known.version !== version).map(([session]) => session);
    }

    #set(session: string, known: KnownSession): void {
        this.#sessions.delete(session);
        this.#sessions.set(session, known);
    }

    #forgetOld(now: number): void {
        for (const [session, { atWork, at }] of this.#sessions) {
            const isFull = this.#sessions.size > mostSessions;
            if (!isFull && now - at <= this.#keepMilliseconds) {
                return;
            }
            if (isFull || atWork === 0) {
                this.#sessions.delete(session);
            }
        }
    }
}
