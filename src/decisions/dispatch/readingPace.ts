/**
 * How long models take to read prompts, learned from answers.
 */

/** Until a model has answered, it is taken to read as fast as this, in milliseconds a token. */
const firstPace = 0.012;
/** Time to the head of an answer that does not depend on the prompt, in milliseconds. */
const headMilliseconds = 60;
/** Shorter prompts say little: their time is mostly the rest. */
const leastTokens = 400;
/**
 * By how much one answer moves a pace, as a part of it: much for the first answers, since a node meets few of the longest prompts,
 * and little later. Moves up and down alike settle at the median, which single waits behind other work do not move.
 */
const firstStep = 0.5;
const leastStep = 0.04;

/** What one answer tells of a model. */
export interface ReadingSample {
    readonly model: string | undefined;
    /** Tokens that it is likely to have read. */
    readonly tokens: number;
    /** Time to the head of its answer. */
    readonly headMilliseconds: number;
    /** Time that the prompt was expected to wait before it was read. */
    readonly waitingMilliseconds: number;
}

interface Pace {
    millisecondsByToken: number;
    answers: number;
}

/**
 * Learns the pace of each model, for prompts of each size apart, since the time to read grows faster than the prompt: by one pace for
 * all, the longest prompts are expected too soon, sent on to the largest model, and come late.
 */
export class ReadingPace {
    /** By model, then by the binary logarithm of the tokens. */
    readonly #paces = new Map<string, Map<number, Pace>>();

    /**
     * Notes an answer.
     * @param sample - The answer.
     */
    add(sample: ReadingSample): void {
        const { model, tokens } = sample;
        if (tokens < leastTokens) {
            return;
        }
        const reading = Math.max(0, sample.headMilliseconds - sample.waitingMilliseconds - headMilliseconds);
        const pace = this.#getPace(model ?? "", getSize(tokens));
        const step = Math.max(leastStep, firstStep / (1 + pace.answers));
        pace.millisecondsByToken *= reading / tokens > pace.millisecondsByToken ? 1 + step : 1 / (1 + step);
        pace.answers += 1;
    }

    /**
     * Returns the time that a model takes to read tokens, in milliseconds.
     * @param model - The model; undefined for one that is not known.
     * @param tokens - How many.
     */
    getMilliseconds(model: string | undefined, tokens: number): number {
        return tokens * this.#findPace(model ?? "", getSize(tokens));
    }

    #getPace(model: string, size: number): Pace {
        const known = this.#paces.get(model)?.get(size);
        if (known !== undefined) {
            return known;
        }
        const pace = { millisecondsByToken: this.#findPace(model, size), answers: 0 };
        const paces = this.#paces.get(model) ?? new Map<number, Pace>();
        this.#paces.set(model, paces.set(size, pace));
        return pace;
    }

    /** Takes the pace of the next size for which there is one, smaller ones first. */
    #findPace(model: string, size: number): number {
        let best = firstPace;
        let bestDistance = Number.POSITIVE_INFINITY;
        for (const [known, { millisecondsByToken }] of this.#paces.get(model) ?? []) {
            const distance = known <= size ? size - known : 2 * (known - size);
            if (distance < bestDistance) {
                best = millisecondsByToken;
                bestDistance = distance;
            }
        }
        return best;
    }
}

function getSize(tokens: number): number {
    return Math.floor(Math.log2(Math.max(1, tokens)));
}
