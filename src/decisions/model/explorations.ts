/**
 * Selects the plans that are worth exploring: those that may turn out to meet the target at a lower cost.
 */
import type { Difficulty } from "./difficulty.js";
import type { ModelRequest } from "./modelRequest.js";
import { getPlanCost, type PlanOption } from "./plan.js";
import {
    getCheapest,
    getConservativeQuality,
    getExpectation,
    getHighestQuality,
    getLowerBound,
    isCheaper,
} from "./planChoice.js";
import { getCascadeOptions, getSingleOption, type PlanSettings } from "./planOptions.js";
import type { QualityEstimate } from "./qualityEstimate.js";

/** A version that meets the target with a lower probability is not explored by itself. */
const minProbability = 0.01;
/**
 * Standard deviations by which the optimistic estimate of a version exceeds its mean, and the probability of success.
 */
const optimisticDeviations = 1.3;
const optimisticProbability = 0.3;
/**
 * Share of the time without ratings that explorations prepare for, and the maximum ratio of an exploration's cost to
 * that of the current plan.
 */
const outageShare = 0.1;
const maxExplorationCostRatio = 1.5;
/** A version that would save less than this share of the cost is not explored. */
const minSaving = 0.03;

/** A plan that may turn out to meet the target at a lower cost. */
export interface Exploration {
    readonly option: PlanOption;
    /** The plan that becomes possible if the exploration succeeds. Its cost determines the saving. */
    readonly potentialOption: PlanOption;
    /** Probability that the exploration succeeds. */
    readonly probability: number;
    /** Expected loss of quality below the target. */
    readonly debit: number;
}

/** Returns the versions that may meet the target by themselves. */
export function getSingleExplorations(
    estimates: readonly QualityEstimate[],
    request: ModelRequest,
): readonly Exploration[] {
    const explorations: Exploration[] = [];
    for (const estimate of estimates) {
        const option = getSingleOption(estimate);
        const { probability, shortfall } = getExpectation(option, request.targetQuality);
        if (probability >= minProbability && getLowerBound(option, request.confidence) < request.targetQuality) {
            explorations.push({ option, potentialOption: option, probability, debit: shortfall });
        }
    }
    return explorations;
}

/** The inputs for cascades to explore. */
export interface CascadeExplorationInput {
    readonly estimates: readonly QualityEstimate[];
    readonly difficulty: Difficulty;
    readonly request: ModelRequest;
    /** The current plan. */
    readonly best: PlanOption;
    readonly settings: PlanSettings;
}

/**
 * Returns cascades that replace one step of the current plan. A version that answers second is rated only where it is
 * used: without these explorations a slightly more expensive one would stay in use permanently.
 */
export function getCascadeExplorations(input: CascadeExplorationInput): readonly Exploration[] {
    const { estimates, best } = input;
    const findStepEstimate = (index: number) => estimates.find(({ version }) => version === best.steps[index].version)!;
    const first = findStepEstimate(0);
    const last = findStepEstimate(best.steps.length - 1);
    const explorations: Exploration[] = [];
    for (const estimate of estimates) {
        const candidates = [
            isCheaper(estimate.version, last.version)
                ? createExploration(input, estimate, last, [getOptimisticEstimate(estimate), last])
                : undefined,
            best.steps.length > 1 && isCheaper(first.version, estimate.version) && estimate !== last
                ? createExploration(input, first, estimate, [first, getOptimisticEstimate(estimate)])
                : undefined,
        ];
        for (const candidate of candidates) {
            if (candidate !== undefined) {
                explorations.push(candidate);
            }
        }
    }
    return explorations;
}

function getOptimisticEstimate(estimate: QualityEstimate): QualityEstimate {
    const mean = Math.min(1, estimate.mean + optimisticDeviations * estimate.deviation);
    const directMean = Math.min(1, estimate.directMean + optimisticDeviations * estimate.directDeviation);
    return { ...estimate, mean, directMean, deviation: estimate.deviation / 2 };
}

/** @param optimistic - Optimistic estimates of the two steps. */
function createExploration(
    { difficulty, request, best, settings }: CascadeExplorationInput,
    first: QualityEstimate,
    second: QualityEstimate,
    optimistic: readonly [QualityEstimate, QualityEstimate],
): Exploration | undefined {
    const { inputTokens, outputTokens, targetQuality, confidence } = request;
    const meets = ({ quality }: PlanOption) => quality >= targetQuality;
    const potentialOption = getCheapest(getCascadeOptions(...optimistic, difficulty, settings).filter(meets), request);
    const maxCost = (1 - minSaving) * getPlanCost(best, inputTokens, outputTokens);
    if (potentialOption === undefined || getPlanCost(potentialOption, inputTokens, outputTokens) > maxCost) {
        return undefined;
    }
    const options = getCascadeOptions(first, second, difficulty, settings);
    const option = getCheapest(options.filter(meets), request) ?? getHighestQuality(options);
    const debit = Math.max(0, targetQuality - getConservativeQuality(option, confidence));
    return { option, potentialOption, probability: optimisticProbability, debit };
}

/**
 * Returns the value of an exploration: its possible saving times the probability of success.
 * @param fallback - The plan that is used while there are no ratings. A version that is known to meet the target by
 * itself saves that cost then, and it can become known only while there are ratings.
 */
export function getExplorationWeight(
    candidate: Exploration,
    best: PlanOption,
    fallback: PlanOption,
    request: ModelRequest,
): number {
    const { inputTokens, outputTokens, targetQuality } = request;
    const cost = getPlanCost(candidate.potentialOption, inputTokens, outputTokens);
    const bestCost = getPlanCost(best, inputTokens, outputTokens);
    if (candidate.option.steps.length > 1) {
        return candidate.probability * Math.max(0, bestCost - cost);
    }
    if (best.quality < targetQuality) {
        return candidate.probability * Math.max(bestCost, cost);
    }
    const fallbackCost = getPlanCost(fallback, inputTokens, outputTokens);
    const outageSaving = cost <= maxExplorationCostRatio * bestCost
        ? outageShare * Math.max(0, fallbackCost - cost)
        : 0;
    return candidate.probability * Math.max(bestCost - cost, outageSaving);
}
