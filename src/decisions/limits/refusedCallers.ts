/**
 * Remembers which refused callers were told to come back when, so that those who come sooner can be told apart.
 */

interface CallerRefusal {
    readonly notBefore: number;
    readonly earlyRetries: number;
}

/** Bounded memory of refused callers; the one told longest ago is forgotten first. */
export class RefusedCallers {
    readonly #maxCallers: number;
    readonly #refusals = new Map<string, CallerRefusal>();

    /** @param maxCallers - How many callers are remembered. */
    constructor(maxCallers: number) {
        this.#maxCallers = maxCallers;
    }

    /** Returns how many times in a row the caller came early, this time included; 0 when it is on time. */
    countEarlyRetries(caller: string, now: number): number {
        const refusal = this.#refusals.get(caller);
        return refusal !== undefined && now < refusal.notBefore ? refusal.earlyRetries + 1 : 0;
    }

    /** Notes what a refused caller was told. */
    add(caller: string, refusal: CallerRefusal): void {
        this.#refusals.delete(caller);
        this.#refusals.set(caller, refusal);
        if (this.#refusals.size <= this.#maxCallers) {
            return;
        }
        for (const oldest of this.#refusals.keys()) {
            this.#refusals.delete(oldest);
            return;
        }
    }

    /** Forgets a caller that was let in. */
    remove(caller: string): void {
        this.#refusals.delete(caller);
    }
}
