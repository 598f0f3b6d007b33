/**
 * Up to when a process has read what arrived at its connections.
 */
import type { Clock } from "./clock.js";

/**
 * Turns of the event loop until the end of a connection is read that had arrived at their start: the bytes before it are read in the
 * first one.
 */
const turnsUntilRead = 2;
/** Connections that may wait to be accepted: the HTTP library's default, and one that the kernel adds. */
const maxWaitingConnections = 512;
/** Turns after which everything is read that had arrived before them, even if each of them accepts a connection. */
const maxTurnsUntilRead = maxWaitingConnections + turnsUntilRead;
/** Age up to which what was read counts as recent. Upstreams should not begin work half a second after its caller has left. */
const maxAgeMilliseconds = 200;

/** Options of `ReadProgress`. */
export interface ReadProgressOptions {
    /** Must also count the time during which the process is suspended. */
    readonly clock: Clock;
    /** Called with the length of each turn of the event loop that was observed, in milliseconds. */
    readonly onTurn?: (milliseconds: number) => void;
    /** Runs a function in the next turn of the event loop after connections were read; by default `setImmediate`. */
    readonly schedule?: (run: () => void) => void;
}

interface TurnStart {
    readonly turn: number;
    /** Monotonic milliseconds. */
    readonly at: number;
}

/**
 * Observes the turns of the event loop while somebody asks for them; an idle process does nothing. The bytes of a request are read
 * before the end of its connection, in an earlier turn. While a process is paused or overloaded, both wait in the kernel, and a
 * request whose caller left long ago looks like any other.
 */
export class ReadProgress {
    readonly #options: ReadProgressOptions;
    readonly #schedule: (run: () => void) => void;
    #isObserving = false;
    /** Number of turns since the observation began. */
    #turn = 0;
    /** Start of the last turn that was observed. Undefined when the observation begins. */
    #turnStartedAt: number | undefined;
    /** Turns before which all connections were accepted whose requests had arrived, the latest last. */
    #starts: TurnStart[] = [];
    #hasAccepted = false;
    #readUntil = Number.NEGATIVE_INFINITY;
    /** Number of callers of `catchUp` that wait. */
    #waiting = 0;

    constructor(options: ReadProgressOptions) {
        this.#options = options;
        this.#schedule = options.schedule ?? setImmediate;
    }

    /** Records that a connection was accepted. Others may wait behind it, as only one is accepted in a turn. */
    addConnection(): void {
        this.#hasAccepted = true;
    }

    /** Returns the monotonic time before which everything that had arrived has been read, in milliseconds. */
    getReadUntil(): number {
        return this.#readUntil;
    }

    /**
     * Returns whether everything has been read that had arrived some time ago.
     * @param readUntil - Monotonic time before which everything was read at a connection, if that is known, in milliseconds.
     */
    isRecent(readUntil = Number.NEGATIVE_INFINITY): boolean {
        return this.#options.clock.monotonic() - Math.max(readUntil, this.#readUntil) <= maxAgeMilliseconds;
    }

    /**
     * Waits until the process has read its connections again, so that what arrived at them before this call is known.
     * @returns The monotonic time of that, in milliseconds.
     */
    catchUp(): Promise<number> {
        this.#observe();
        this.#waiting += 1;
        return new Promise(resolve => {
            const finish = (): void => {
                this.#waiting -= 1;
                resolve(this.#turnStartedAt ?? this.#options.clock.monotonic());
            };
            // Each one is scheduled by itself, so that what it begins has been done before the next one looks at the time.
            this.#schedule(() => this.#schedule(finish));
        });
    }

    /**
     * Waits until everything has been read that had arrived before this call, also on connections that wait to be accepted. What it
     * begins is known then; what arrives meanwhile may not be. Its time is bounded: connections are accepted in the order in which
     * they arrived.
     */
    async readArrived(): Promise<void> {
        const calledAt = this.#options.clock.monotonic();
        for (let turns = 0; turns < maxTurnsUntilRead && this.#readUntil < calledAt; turns++) {
            await this.catchUp();
        }
    }

    #observe(): void {
        if (!this.#isObserving) {
            this.#isObserving = true;
            this.#turn = 0;
            this.#turnStartedAt = undefined;
            this.#starts = [];
            this.#schedule(this.#handleTurn);
        }
    }

    readonly #handleTurn = (): void => {
        const now = this.#options.clock.monotonic();
        const hasProgressed = this.#recordTurn(now);
        this.#isObserving = !hasProgressed || this.#waiting > 0;
        if (this.#isObserving) {
            this.#schedule(this.#handleTurn);
        }
    };

    /** Returns whether more is known to be read than before. */
    #recordTurn(now: number): boolean {
        if (this.#turnStartedAt !== undefined) {
            this.#options.onTurn?.(now - this.#turnStartedAt);
        }
        this.#turn += 1;
        this.#turnStartedAt = now;
        if (this.#hasAccepted) {
            this.#hasAccepted = false;
            this.#starts.pop();
        }
        this.#starts.push({ turn: this.#turn, at: now });
        if (this.#starts[0].turn > this.#turn - turnsUntilRead) {
            return false;
        }
        this.#readUntil = this.#starts.shift()!.at;
        return true;
    }
}
