/**
 * Credit by which a node begins requests at a rate that may be far below one a second.
 */
import type { Turn } from "./waitingRequests.js";

/** Credit, in requests, from which a request begins. The later its turn, the more is left for requests that come first. */
export const neededCredits: Readonly<Record<Turn, number>> = { timely: 1, "above-share": 3, late: 4 };

/** Accumulates the requests that may begin. */
export class BeginCredit {
    #requests = 0;
    #addedAt = 0;

    /** Returns the credit, in requests. */
    get(): number {
        return this.#requests;
    }

    /**
     * Adds the credit since the last time.
     * @param rate - Requests a millisecond.
     * @param options - Monotonic time, and the maximum credit.
     */
    add(rate: number, { now, max }: { readonly now: number; readonly max: number; }): void {
        this.#requests = Math.min(max, this.#requests + rate * (now - this.#addedAt));
        this.#addedAt = now;
    }

    /**
     * Takes the credit of one request.
     * @param min - Credit that there has to be.
     * @returns Whether there was as much.
     */
    tryTake(min: number): boolean {
        if (this.#requests < min) {
            return false;
        }
        this.#requests -= 1;
        return true;
    }
}
