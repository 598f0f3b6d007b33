/**
 * Which version serves the sessions that this node has seen lately.
 */

/** Sessions that are remembered, at most. */
const mostSessions = 20_000;

interface KnownSession {
    readonly version: string;
    /** Monotonic milliseconds at which its last request began. */
    readonly at: number;
}

/** Remembers for a while which version served a session. */
export class SessionMemory {
    readonly #keepMilliseconds: number;
    /** The one that was noted longest ago comes first. */
    readonly #sessions = new Map<string, KnownSession>();

    /** @param keepMilliseconds - How long. */
    constructor(keepMilliseconds: number) {
        this.#keepMilliseconds = keepMilliseconds;
    }

    /** Notes which version serves a session. */
    set(session: string, version: string, now: number): void {
        this.#sessions.delete(session);
        this.#sessions.set(session, { version, at: now });
        this.#forgetOld(now);
    }

    /** Returns the sessions that were served by another version than the given one lately. */
    getOthers(version: string, now: number): readonly string[] {
        this.#forgetOld(now);
        return [...this.#sessions].filter(([, known]) => known.version !== version).map(([session]) => session);
    }

    #forgetOld(now: number): void {
        for (const [session, { at }] of this.#sessions) {
            if (this.#sessions.size <= mostSessions && now - at <= this.#keepMilliseconds) {
                return;
            }
            this.#sessions.delete(session);
        }
    }
}
