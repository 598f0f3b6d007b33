/**
 * Ejection of a failing runner and its gradual return.
 */
import type { PlacementOptions } from "./options.js";

const minRamp = 0.1;
/** The count of ejections is reset at the first success that comes this long after the end of the last ejection. */
const ejectionResetMilliseconds = 60_000;

/** Tracks the health of one runner as observed by one entry. */
export class Health {
    readonly #options: PlacementOptions;
    #failures = 0;
    #slowAnswers = 0;
    #ejections = 0;
    #ejectedUntil = Number.NEGATIVE_INFINITY;

    constructor(options: PlacementOptions) {
        this.#options = options;
    }

    /** Returns whether the runner is ejected, that is, gets no new requests for now. */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Returns the share of its usual requests that the runner should get, from 0 to 1. It rises gradually after an ejection. */
    getRamp(now: number): number {
        if (this.#ejections === 0) {
            return 1;
        }
        const since = now - this.#ejectedUntil;
        return Math.min(1, minRamp + (1 - minRamp) * since / this.#options.rampMilliseconds);
    }

    /** Records a successful answer. */
    addSuccess(now: number): void {
        this.#failures = 0;
        if (now - this.#ejectedUntil > ejectionResetMilliseconds) {
            this.#ejections = 0;
        }
    }

    /** Records a failed answer and returns the number of consecutive ones. */
    addFailure(): number {
        this.#failures += 1;
        return this.#failures;
    }

    /** Records whether an answer was far slower than those of the pool, and returns the number of consecutive slow ones. */
    recordLatency(isSlow: boolean): number {
        this.#slowAnswers = isSlow ? this.#slowAnswers + 1 : 0;
        return this.#slowAnswers;
    }

    /**
     * Ejects the runner, for twice as long each time up to a limit.
     * @param now - Monotonic milliseconds.
     * @param randomFraction - Random number from 0 to 1 for the jitter. Without it, all entries would return to the runner at once.
     * @returns The duration of the ejection, in milliseconds.
     */
    eject(now: number, randomFraction: number): number {
        const base = this.#options.ejectionMilliseconds * 2 ** this.#ejections;
        const duration = Math.min(this.#options.maxEjectionMilliseconds, base) * (0.75 + randomFraction / 2);
        this.#ejections += 1;
        this.#failures = 0;
        this.#slowAnswers = 0;
        this.#ejectedUntil = now + duration;
        return duration;
    }
}
