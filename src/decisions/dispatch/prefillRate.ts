/**
 * How long models take to read prompts, learned from answers.
 */

/** Until a model has answered, it is taken to read as fast as this, in milliseconds a token. */
const initialMillisecondsPerToken = 0.012;
/** Time to the head of an answer that does not depend on the prompt, in milliseconds. */
const headMilliseconds = 60;
/** Shorter prompts say little: their time is mostly the rest. */
const minTokens = 400;
/**
 * By how much one answer moves a pace, as a part of it: much for the first answers, since a node meets few of the longest prompts,
 * and little later. Moves up and down alike settle at the median, which single waits behind other work do not move.
 */
const initialStep = 0.5;
const minStep = 0.04;

/** What one answer tells of a model. */
export interface PrefillSample {
    readonly model: string | undefined;
    /** Tokens that it is likely to have read. */
    readonly tokens: number;
    /** Time to the head of its answer. */
    readonly fixedHeadMilliseconds: number;
    /** Time that the prompt was expected to wait before it was read. */
    readonly waitingMilliseconds: number;
}

interface RateEstimate {
    millisecondsPerToken: number;
    answers: number;
}

/**
 * Learns the pace of each model, for prompts of each size apart, since the time to read grows faster than the prompt: by one pace for
 * all, the longest prompts are expected too soon, sent on to the largest model, and come late.
 */
export class PrefillRate {
    /** By model, then by the binary logarithm of the tokens. */
    readonly #rates = new Map<string, Map<number, RateEstimate>>();

    /**
     * Notes an answer.
     * @param sample - The answer.
     */
    add(sample: PrefillSample): void {
        const { model, tokens } = sample;
        if (tokens < minTokens) {
            return;
        }
        const prefill = Math.max(0, sample.fixedHeadMilliseconds - sample.waitingMilliseconds - headMilliseconds);
        const rate = this.#getOrAddRate(model ?? "", getSizeClass(tokens));
        const step = Math.max(minStep, initialStep / (1 + rate.answers));
        rate.millisecondsPerToken *= prefill / tokens > rate.millisecondsPerToken ? 1 + step : 1 / (1 + step);
        rate.answers += 1;
    }

    /**
     * Returns the time that a model takes to read tokens, in milliseconds.
     * @param model - The model; undefined for one that is not known.
     * @param tokens - How many.
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

    /** Takes the pace of the next size for which there is one, smaller ones first. */
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
