/**
 * Remembers which refused callers were told to come back when, so that those who come sooner can be told apart.
 */

interface Told {
    readonly notBefore: number;
    readonly earlyReturns: number;
}

/** Bounded memory of refused callers; the one told longest ago is forgotten first. */
export class CallerMemory {
    readonly #size: number;
    readonly #callers = new Map<string, Told>();

    /** @param size - How many callers are remembered. */
    constructor(size: number) {
        this.#size = size;
    }

    /** Returns how many times in a row the caller came early, this time included; 0 when it is on time. */
    getEarlyReturns(caller: string, now: number): number {
        const told = this.#callers.get(caller);
        return told !== undefined && now < told.notBefore ? told.earlyReturns + 1 : 0;
    }

    /** Notes what a refused caller was told. */
    add(caller: string, told: Told): void {
        this.#callers.delete(caller);
        this.#callers.set(caller, told);
        if (this.#callers.size <= this.#size) {
            return;
        }
        for (const oldest of this.#callers.keys()) {
            this.#callers.delete(oldest);
            return;
        }
    }

    /** Forgets a caller that was let in. */
    remove(caller: string): void {
        this.#callers.delete(caller);
    }
}
