/**
 * Ejection of a runner that fails, and its slow way back.
 */
import type { PlacementOptions } from "./options.js";

const minRamp = 0.1;
/** An ejected runner that then served this long is forgiven its earlier ejections. */
const ejectionResetMilliseconds = 60_000;

/** Health of one runner as one entry sees it. */
export class Health {
    readonly #options: PlacementOptions;
    #failures = 0;
    #slowAnswers = 0;
    #ejections = 0;
    #ejectedUntil = Number.NEGATIVE_INFINITY;

    constructor(options: PlacementOptions) {
        this.#options = options;
    }

    /** Tells whether the runner takes nothing for now. */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Returns the part of its usual work that the runner should get, from 0 to 1. */
    getRamp(now: number): number {
        if (this.#ejections === 0) {
            return 1;
        }
        const since = now - this.#ejectedUntil;
        return Math.min(1, minRamp + (1 - minRamp) * since / this.#options.rampMilliseconds);
    }

    /** Notes a good answer. */
    addSuccess(now: number): void {
        this.#failures = 0;
        if (now - this.#ejectedUntil > ejectionResetMilliseconds) {
            this.#ejections = 0;
        }
    }

    /** Notes a failed answer and returns how many there were in a row. */
    addFailure(): number {
        this.#failures += 1;
        return this.#failures;
    }

    /** Notes whether an answer was far slower than the pool's, and returns how many there were in a row. */
    recordLatency(isSlow: boolean): number {
        this.#slowAnswers = isSlow ? this.#slowAnswers + 1 : 0;
        return this.#slowAnswers;
    }

    /**
     * Ejects the runner, for twice as long each time.
     * @param now - Monotonic milliseconds.
     * @param draw - A random number from 0 to 1: entries must not all come back at one moment.
     * @returns For how long, in milliseconds.
     */
    eject(now: number, draw: number): number {
        const base = this.#options.ejectionMilliseconds * 2 ** this.#ejections;
        const duration = Math.min(this.#options.maxEjectionMilliseconds, base) * (0.75 + draw / 2);
        this.#ejections += 1;
        this.#failures = 0;
        this.#slowAnswers = 0;
        this.#ejectedUntil = now + duration;
        return duration;
    }
}
