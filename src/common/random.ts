/**
 * Seeded random numbers on top of pure-rand. Every random decision takes a `RandomSource`, so that a run with the same
 * seed is exactly reproducible.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Generates seeded random numbers. */
export class RandomSource {
    readonly #generator: ReturnType<typeof xoroshiro128plus>;

    /** @param seed - An integer; the same seed generates the same numbers. */
    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    /** Draws a number from 0 (included) to 1 (excluded). */
    next(): number {
        return uniformFloat64(this.#generator);
    }

    /**
     * Draws an integer from 0 (included) to a bound (excluded).
     * @param bound - The bound; at least 1.
     */
    nextInteger(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    /** Draws from the standard normal distribution (Box-Muller). */
    nextNormal(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
        return radius * Math.cos(2 * Math.PI * this.next());
    }

    /**
     * Draws a waiting time of a Poisson process.
     * @param mean - The mean waiting time, in any unit.
     */
    nextExponential(mean: number): number {
        return -mean * Math.log(1 - this.next());
    }
}
