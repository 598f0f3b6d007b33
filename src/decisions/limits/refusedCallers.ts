/**
 * Retry times that refused callers were given, so that early retries can be detected.
 */

interface CallerRefusal {
    readonly notBefore: number;
    readonly earlyRetries: number;
}

/** Bounded store of refused callers. The caller that was refused longest ago is removed first. */
export class RefusedCallers {
    readonly #maxCallers: number;
    readonly #refusals = new Map<string, CallerRefusal>();

    /** @param maxCallers - Maximum number of callers. */
    constructor(maxCallers: number) {
        this.#maxCallers = maxCallers;
    }

    /** Returns the number of consecutive early retries of a caller, including this one; 0 when it is not early. */
    countEarlyRetries(caller: string, now: number): number {
        const refusal = this.#refusals.get(caller);
        return refusal !== undefined && now < refusal.notBefore ? refusal.earlyRetries + 1 : 0;
    }

    /** Returns the time before which a caller that was refused should not return, or undefined when it was not refused. */
    getNotBefore(caller: string): number | undefined {
        return this.#refusals.get(caller)?.notBefore;
    }

    /** Returns the number of callers. */
    getSize(): number {
        return this.#refusals.size;
    }

    /** Adds the retry time that a refused caller was given. */
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

    /** Removes a caller that was admitted. */
    remove(caller: string): void {
        this.#refusals.delete(caller);
    }
}
