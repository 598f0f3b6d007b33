/**
 * Which plans are worth trying to learn more: those that may turn out to meet the target for less.
 */
import type { Estimate } from "./estimate.js";
import type { Hardness } from "./hardness.js";
import type { ModelRequest } from "./modelRequest.js";
import { getPlanCost, type PlanOption } from "./plan.js";
import { getCheapest, getExpectation, getLikelyQuality, getLowerBound, getSurest, isCheaper } from "./planChoice.js";
import { getCascadeOptions, getSingleOption, type PlanSettings } from "./planOptions.js";

/** A version that meets the target with a lower probability isn't tried by itself. */
const minimumProbability = 0.01;
/** Standard deviations by which a version is hoped to be better than expected, and how likely it proves of use. */
const luckyDeviations = 1.3;
const luckyProbability = 0.3;
/** Share of the time without ratings that tries prepare for, and how much dearer than the usual plan they may be. */
const outageShare = 0.1;
const dearestTry = 1.5;
/** A version that would save less than this share of the cost isn't tried. */
const minimumSaving = 0.03;

/** A plan that may turn out to meet the target for less. */
export interface Try {
    readonly option: PlanOption;
    /** The plan that it may turn out to allow; its cost decides what may be saved. */
    readonly hoped: PlanOption;
    /** Probability that it turns out to be of use. */
    readonly probability: number;
    /** Quality that it is expected to cost. */
    readonly debit: number;
}

/** Gets the versions that may meet the target by themselves. */
export function getSingleTries(estimates: readonly Estimate[], request: ModelRequest): readonly Try[] {
    const tries: Try[] = [];
    for (const estimate of estimates) {
        const option = getSingleOption(estimate);
        const { probability, shortfall } = getExpectation(option, request.targetQuality);
        if (probability >= minimumProbability && getLowerBound(option, request.confidence) < request.targetQuality) {
            tries.push({ option, hoped: option, probability, debit: shortfall });
        }
    }
    return tries;
}

/** What cascades to try are formed from. */
export interface CascadeTryInput {
    readonly estimates: readonly Estimate[];
    readonly hardness: Hardness;
    readonly request: ModelRequest;
    /** The plan in use. */
    readonly best: PlanOption;
    readonly settings: PlanSettings;
}

/**
 * Gets cascades that replace one step of the plan in use. A version that answers second is only known from where it was
 * used: without such tries a slightly dearer one stays in use for good.
 */
export function getCascadeTries(input: CascadeTryInput): readonly Try[] {
    const { estimates, best } = input;
    const find = (index: number) => estimates.find(({ version }) => version === best.steps[index].version)!;
    const first = find(0);
    const last = find(best.steps.length - 1);
    const tries: Try[] = [];
    for (const estimate of estimates) {
        const candidates = [
            isCheaper(estimate.version, last.version)
                ? formTry(input, estimate, last, [getLucky(estimate), last])
                : undefined,
            best.steps.length > 1 && isCheaper(first.version, estimate.version) && estimate !== last
                ? formTry(input, first, estimate, [first, getLucky(estimate)])
                : undefined,
        ];
        for (const candidate of candidates) {
            if (candidate !== undefined) {
                tries.push(candidate);
            }
        }
    }
    return tries;
}

function getLucky(estimate: Estimate): Estimate {
    const mean = Math.min(1, estimate.mean + luckyDeviations * estimate.deviation);
    const directMean = Math.min(1, estimate.directMean + luckyDeviations * estimate.directDeviation);
    return { ...estimate, mean, directMean, deviation: estimate.deviation / 2 };
}

/** @param lucky - The two steps as they are hoped to be. */
function formTry(
    { hardness, request, best, settings }: CascadeTryInput,
    first: Estimate,
    second: Estimate,
    lucky: readonly [Estimate, Estimate],
): Try | undefined {
    const { inputTokens, outputTokens, targetQuality, confidence } = request;
    const meets = ({ quality }: PlanOption) => quality >= targetQuality;
    const hoped = getCheapest(getCascadeOptions(...lucky, hardness, settings).filter(meets), request);
    const limit = (1 - minimumSaving) * getPlanCost(best, inputTokens, outputTokens);
    if (hoped === undefined || getPlanCost(hoped, inputTokens, outputTokens) > limit) {
        return undefined;
    }
    const options = getCascadeOptions(first, second, hardness, settings);
    const option = getCheapest(options.filter(meets), request) ?? getSurest(options);
    const debit = Math.max(0, targetQuality - getLikelyQuality(option, confidence));
    return { option, hoped, probability: luckyProbability, debit };
}

/**
 * Gets what a try is worth: what it may save, by the probability that it turns out to be of use.
 * @param fallback - What is used when there are no ratings: a version that is known to meet the target by itself saves
 * that cost then, and it can only become known while there are ratings.
 */
export function getTryWeight(
    candidate: Try,
    best: PlanOption,
    fallback: PlanOption,
    request: ModelRequest,
): number {
    const { inputTokens, outputTokens, targetQuality } = request;
    const cost = getPlanCost(candidate.hoped, inputTokens, outputTokens);
    const bestCost = getPlanCost(best, inputTokens, outputTokens);
    if (candidate.option.steps.length > 1) {
        return candidate.probability * Math.max(0, bestCost - cost);
    }
    if (best.quality < targetQuality) {
        return candidate.probability * Math.max(bestCost, cost);
    }
    const fallbackCost = getPlanCost(fallback, inputTokens, outputTokens);
    const saved = cost <= dearestTry * bestCost ? outageShare * Math.max(0, fallbackCost - cost) : 0;
    return candidate.probability * Math.max(bestCost - cost, saved);
}
