/**
 * Model cascade: selection of the first model, and of a larger one if the confidence that the model reports for its answer is low.
 */

/** Options of the selection of the first model. */
export interface FirstModelOptions {
    /** Eligible models, smallest first. */
    readonly models: readonly string[];
    /** Retries left in the pool's budget. A second model takes one. */
    readonly retriesLeft: number;
    /** Number of runners that the request may still be sent to. */
    readonly attemptsLeft: number;
    /** Whether the caller already has a part of an answer, which must be continued by a model of at least the same quality. */
    readonly isContinued: boolean;
}

/** Options of the decision whether to accept an answer. */
export interface AcceptanceOptions {
    /** Eligible models, smallest first. */
    readonly models: readonly string[];
    /** The model that answered. */
    readonly model: string;
    /** Confidence of the model in its answer, from 0 to 100; undefined when it reports none. */
    readonly confidence: number | undefined;
    /** Returns whether an answer of another model would still start in time. Called only if the decision depends on it. */
    readonly isInTime: () => boolean;
}

/** Answers below this confidence are escalated to the largest model. A higher threshold would cost more than the better answers gain. */
const minAcceptedConfidence = 50;
/**
 * Threshold that applies when the better answer would be late. A late answer is worth a tenth to a third of one in time, so only an
 * answer that is almost certainly poor is discarded for it. At peak load, this also avoids second requests to overloaded runners.
 */
const minAcceptedLateConfidence = 20;
/** Minimum number of retries left for a cascade. With fewer, a poor answer could not be escalated. */
const minRetries = 2;

/**
 * Returns the model that answers first: the smallest, or the largest when an escalation is not possible or an answer is continued.
 * @param options - The options.
 */
export function chooseFirstModel(options: FirstModelOptions): string | undefined {
    const { models, retriesLeft, attemptsLeft, isContinued } = options;
    if (isContinued || retriesLeft < minRetries || attemptsLeft < 2) {
        return models.at(-1);
    }
    return models.at(0);
}

/**
 * Returns the model that answers instead, or undefined when the answer is accepted. Escalation goes directly to the largest model: with
 * an intermediate model, a request could need three runners, and no attempt would be left for a failure.
 * @param options - The options.
 */
export function chooseNextModel(options: AcceptanceOptions): string | undefined {
    const { models, model, confidence, isInTime } = options;
    const largest = models.at(-1);
    if (confidence === undefined || confidence >= minAcceptedConfidence || model === largest) {
        return undefined;
    }
    return confidence < minAcceptedLateConfidence || isInTime() ? largest : undefined;
}
