/**
 * Which model answers first, and whether its answer is good enough, by the model's own opinion of it.
 */

/** What the choice of the first model rests on. */
export interface FirstModelOptions {
    /** Models that may answer, smallest first. */
    readonly models: readonly string[];
    /** Repeats left in the pool's budget: a second model costs one. */
    readonly retriesLeft: number;
    /** Runners that the request may be sent to. */
    readonly attemptsLeft: number;
    /** Whether the caller has a part of an answer already, which only goes on with a model at least as good. */
    readonly isContinued: boolean;
}

/** What the decision on an answer rests on. */
export interface AcceptanceOptions {
    readonly models: readonly string[];
    /** The model that answered. */
    readonly model: string;
    /** Its opinion of the answer, 0 to 100; undefined when it has none. */
    readonly confidence: number | undefined;
    /** Tells whether another model's answer would still begin in time; asked only where that decides. */
    readonly isInTime: () => boolean;
}

/** Answers below this confidence go to the largest model: more of them would cost more than better answers bring. */
const minAcceptedConfidence = 50;
/**
 * When a better answer would be late, it is worth a tenth to a third of one in time, so only an answer that is almost certainly
 * poor is given up for it. At the worst load this also keeps the work of second answers away from crowded runners.
 */
const minAcceptedLateConfidence = 20;
/** Below this many repeats a cascade might end with a poor answer that nothing is left to better. */
const minRetries = 2;

/**
 * Returns the model that answers first: the smallest, unless a second step would not be possible.
 * @param options - What the choice rests on.
 */
export function chooseFirstModel(options: FirstModelOptions): string | undefined {
    const { models, retriesLeft, attemptsLeft, isContinued } = options;
    if (isContinued || retriesLeft < minRetries || attemptsLeft < 2) {
        return models.at(-1);
    }
    return models.at(0);
}

/**
 * Returns the model to ask in place of the one that answered, or undefined when its answer is good enough. The step goes
 * straight to the largest model: with a middle step in between, a request may need three runners, and none is left for a failure.
 * @param options - What the decision rests on.
 */
export function chooseNextModel(options: AcceptanceOptions): string | undefined {
    const { models, model, confidence, isInTime } = options;
    const largest = models.at(-1);
    if (confidence === undefined || confidence >= minAcceptedConfidence || model === largest) {
        return undefined;
    }
    return confidence < minAcceptedLateConfidence || isInTime() ? largest : undefined;
}
