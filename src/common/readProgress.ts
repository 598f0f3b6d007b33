/**
 * Up to when a process has read what arrived at its connections.
 */
import type { Clock } from "./clock.js";

/**
 * Turns of the event loop until everything has been read that had arrived at their start: connections are accepted in the first one,
 * their bytes are read in the second one, and their ends in the third one.
 */
const turnsUntilRead = 3;

/** Options of `ReadProgress`. */
export interface ReadProgressOptions {
    /** Must also count the time during which the process is suspended. */
    readonly clock: Clock;
    /** Called with the length of each turn of the event loop that was observed, in milliseconds. */
    readonly onTurn?: (milliseconds: number) => void;
    /** Runs a function in the next turn of the event loop after connections were read; by default `setImmediate`. */
    readonly schedule?: (run: () => void) => void;
}

/**
 * Observes the turns of the event loop while somebody asks for them; an idle process does nothing. The bytes of a request are read
 * before the end of its connection, in an earlier turn. While a process is paused or overloaded, both wait in the kernel, and a
 * request whose caller left long ago looks like any other.
 */
export class ReadProgress {
    readonly #options: ReadProgressOptions;
    readonly #schedule: (run: () => void) => void;
    /** Start times of the latest turns that were observed without a gap. */
    #turns: number[] = [];
    #isObserving = false;
    #readUntil = Number.NEGATIVE_INFINITY;
    /** Callers of `catchUp` in this turn, and those whose turn has begun. */
    #waiting: (() => void)[] = [];
    #due: (() => void)[] = [];

    constructor(options: ReadProgressOptions) {
        this.#options = options;
        this.#schedule = options.schedule ?? setImmediate;
    }

    /** Returns the monotonic time before which everything that had arrived has been read, in milliseconds. */
    getReadUntil(): number {
        return this.#readUntil;
    }

    /** Waits until the process has read its connections again, so that what arrived at them before this call is known. */
    catchUp(): Promise<void> {
        this.#observe();
        return new Promise(resolve => this.#waiting.push(resolve));
    }

    #observe(): void {
        if (!this.#isObserving) {
            this.#isObserving = true;
            this.#schedule(this.#handleTurn);
        }
    }

    readonly #handleTurn = (): void => {
        this.#recordTurn();
        const due = this.#due;
        this.#due = this.#waiting;
        this.#waiting = [];
        this.#isObserving = this.#due.length > 0 || this.#turns.length <= turnsUntilRead;
        if (this.#isObserving) {
            this.#schedule(this.#handleTurn);
        }
        else {
            this.#turns = [];
        }
        for (const resolve of due) {
            resolve();
        }
    };

    #recordTurn(): void {
        const now = this.#options.clock.monotonic();
        const last = this.#turns.at(-1);
        if (last !== undefined) {
            this.#options.onTurn?.(now - last);
        }
        this.#turns.push(now);
        if (this.#turns.length > turnsUntilRead + 1) {
            this.#turns.shift();
        }
        if (this.#turns.length > turnsUntilRead) {
            this.#readUntil = this.#turns[0];
        }
    }
}
