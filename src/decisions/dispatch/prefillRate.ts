/**
 * Prefill rates of models, estimated from measured response times.
 */

/** Prefill rate that is assumed until a model has answered, in milliseconds per token. */
const initialMillisecondsPerToken = 0.012;
/** Part of the time to the response head that does not depend on the prompt, in milliseconds. */
const fixedHeadMilliseconds = 60;
/** Shorter prompts are ignored: most of their response time is not prefill. */
const minSampleTokens = 400;
/**
 * Relative step by which one answer changes a rate. The first answers change it a lot, since a node receives few of the longest
 * prompts; later ones change it little. Equal steps up and down converge to the median, so that single prompts that were queued
 * behind other work do not distort the rate.
 */
const initialRelativeStep = 0.5;
const minRelativeStep = 0.04;

/** Represents the measured response time of one prompt. */
export interface PrefillSample {
    readonly model: string | undefined;
    /** Estimated number of prefilled tokens. */
    readonly tokens: number;
    /** Measured time to the response head. */
    readonly headMilliseconds: number;
    /** Expected queueing time before the prefill. */
    readonly waitingMilliseconds: number;
}

interface RateEstimate {
    millisecondsPerToken: number;
    answers: number;
}

/**
 * Estimates the prefill rate of each model, separately for each prompt size, since prefill time grows faster than the prompt. With one
 * rate for all sizes, the time of the longest prompts would be underestimated: they would be escalated to the largest model, and their
 * answers would miss the objective.
 */
export class PrefillRate {
    /** By model, then by size class: the binary logarithm of the tokens. */
    readonly #rates = new Map<string, Map<number, RateEstimate>>();

    /**
     * Adds a measured response time.
     * @param sample - The measurement.
     */
    add(sample: PrefillSample): void {
        const { model, tokens } = sample;
        if (tokens < minSampleTokens) {
            return;
        }
        const prefill = Math.max(0, sample.headMilliseconds - sample.waitingMilliseconds - fixedHeadMilliseconds);
        const rate = this.#getOrAddRate(model ?? "", getSizeClass(tokens));
        const step = Math.max(minRelativeStep, initialRelativeStep / (1 + rate.answers));
        rate.millisecondsPerToken *= prefill / tokens > rate.millisecondsPerToken ? 1 + step : 1 / (1 + step);
        rate.answers += 1;
    }

    /**
     * Returns the expected prefill time of a model, in milliseconds.
     * @param model - The model; undefined when it is not known.
     * @param tokens - Number of tokens to prefill.
     */
    getPrefillMilliseconds(model: string | undefined, tokens: number): number {
        return tokens * this.#findNearestRate(model ?? "", getSizeClass(tokens));
    }

    #getOrAddRate(model: string, sizeClass: number): RateEstimate {
        const known = this.#rates.get(model)?.get(sizeClass);
        if (known !== undefined) {
            return known;
        }
        const rate = { millisecondsPerToken: this.#findNearestRate(model, sizeClass), answers: 0 };
        const rates = this.#rates.get(model) ?? new Map<number, RateEstimate>();
        this.#rates.set(model, rates.set(sizeClass, rate));
        return rate;
    }

    /** Returns the rate of the nearest size class that has one. Larger classes count twice as far away as smaller ones. */
    #findNearestRate(model: string, sizeClass: number): number {
        let best = initialMillisecondsPerToken;
        let bestDistance = Number.POSITIVE_INFINITY;
        for (const [knownSizeClass, { millisecondsPerToken }] of this.#rates.get(model) ?? []) {
            const distance = knownSizeClass <= sizeClass
                ? sizeClass - knownSizeClass
                : 2 * (knownSizeClass - sizeClass);
            if (distance < bestDistance) {
                best = millisecondsPerToken;
                bestDistance = distance;
            }
        }
        return best;
    }
}

function getSizeClass(tokens: number): number {
    return Math.floor(Math.log2(Math.max(1, tokens)));
}
