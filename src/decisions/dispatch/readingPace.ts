/**
 * How long models take to read a token of a prompt, learned from answers.
 */

/** Until a model has answered, it is taken to read as fast as this, in milliseconds a token. */
const firstPace = 0.012;
/** Time to the head of an answer that does not depend on the prompt, in milliseconds. */
const headMilliseconds = 60;
/** Shorter prompts say little: their time is mostly the rest. */
const leastTokens = 400;
/** Low answers move the estimate up slowly and high ones down: it settles where a quarter of the answers is faster. */
const quantile = 0.25;
const step = 0.04;

/** Learns the pace of each model. */
export class ReadingPace {
    readonly #paces = new Map<string, number>();

    /**
     * Notes an answer.
     * @param model - The model that answered.
     * @param tokens - Tokens that it had to read.
     * @param milliseconds - Time to the head of its answer.
     */
    add(model: string, tokens: number, milliseconds: number): void {
        if (tokens < leastTokens) {
            return;
        }
        const seen = Math.max(0, milliseconds - headMilliseconds) / tokens;
        const known = this.#paces.get(model) ?? firstPace;
        // A low quantile, since waiting behind other work is counted elsewhere.
        const change = seen > known ? step * quantile : -step * (1 - quantile);
        this.#paces.set(model, known * (1 + change));
    }

    /**
     * Returns the time that a model takes to read tokens, in milliseconds.
     * @param model - The model; undefined for one that is not known.
     * @param tokens - How many.
     */
    getMilliseconds(model: string | undefined, tokens: number): number {
        return tokens * (this.#paces.get(model ?? "") ?? firstPace);
    }
}
