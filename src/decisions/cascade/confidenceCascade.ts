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
    /** Whether the pool is full and more urgent requests compete for its room. */
    readonly mustYield: () => boolean;
    /** Returns whether an answer of a model would start in time. Called only if the decision depends on it. */
    readonly isInTime: (model: string) => boolean;
}

/**
 * Why an answer cannot be escalated at all: no attempt is left, no retry, no upstream is available, or another answer would not
 * start before the deadline.
 */
export type EscalationObstacle = "attempts" | "budget" | "nobody" | "deadline" | "stopping";

/** Why a poor answer is accepted: an obstacle, the other answer would be `late`, or more urgent requests need the room. */
export type PoorAnswerReason = EscalationObstacle | "late" | "room";

/** What becomes of an answer. */
export type AnswerJudgement =
    | { readonly kind: "sufficient"; }
    | { readonly kind: "poor"; readonly reason: PoorAnswerReason; }
    | { readonly kind: "escalated"; readonly model: string; };

/** Options of the decision whether to accept an answer. */
export interface AcceptanceOptions {
    /** Eligible models, smallest first. */
    readonly models: readonly string[];
    /** The model that answered. */
    readonly model: string;
    /** Confidence of the model in its answer, from 0 to 100; undefined when it reports none. */
    readonly confidence: number | undefined;
    /** Returns why the answer cannot be escalated. Called only if the decision depends on it, as the following functions. */
    readonly getObstacle: () => EscalationObstacle | undefined;
    /** Returns whether the pool is full and more urgent requests compete for its room. */
    readonly mustYield: () => boolean;
    /** Returns whether an answer of another model would still start in time. */
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
 * Returns the model that answers first: the smallest, or a larger one when an escalation is not possible. That is the largest one whose
 * answer is in time, unless more urgent requests compete for the room: the largest model takes many times the work of the smallest.
 * An answer that is continued needs the largest.
 * @param options - The options.
 */
export function chooseFirstModel(options: FirstModelOptions): string | undefined {
    const { models, retriesLeft, attemptsLeft, isContinued, mustYield, isInTime } = options;
    if (isContinued) {
        return models.at(-1);
    }
    if ((retriesLeft >= minRetries && attemptsLeft >= 2) || mustYield()) {
        return models.at(0);
    }
    return models.findLast(isInTime) ?? models.at(0);
}

/**
 * Judges an answer. Escalation goes directly to the largest model: with an intermediate model, a request could need three runners, and
 * no attempt would be left for a failure.
 * @param options - The options.
 */
export function judgeAnswer(options: AcceptanceOptions): AnswerJudgement {
    const { models, model, confidence, getObstacle, mustYield, isInTime } = options;
    const largest = models.at(-1);
    if (confidence === undefined || confidence >= minAcceptedConfidence || largest === undefined || model === largest) {
        return { kind: "sufficient" };
    }
    const obstacle = getObstacle();
    if (obstacle !== undefined) {
        return { kind: "poor", reason: obstacle };
    }
    if (confidence < minAcceptedLateConfidence) {
        return { kind: "escalated", model: largest };
    }
    if (mustYield()) {
        return { kind: "poor", reason: "room" };
    }
    return isInTime() ? { kind: "escalated", model: largest } : { kind: "poor", reason: "late" };
}
