/**
 * Compares plans for a request by cost, by confidence in their quality and by the value of exploring them.
 */
import type { ModelVersion } from "../../world/index.js";
import type { ModelRequest } from "./modelRequest.js";
import { getNormalProbability, getNormalQuantile } from "./normal.js";
import { getPlanCost, type Plan, type PlanOption } from "./plan.js";

/** Smaller quality losses are treated as equal to this one. */
const minLoss = 0.001;

const quantiles = new Map<number, number>();

/** Returns the quality that an option reaches with a given probability. */
export function getLowerBound(option: PlanOption, confidence: number): number {
    return option.quality - getQuantile(confidence) * option.deviation;
}

/**
 * Returns the quality that the accounting of surplus quality uses: halfway from the expected quality to its lower
 * bound. With the lower bound itself, the cheapest sufficient plan, which just meets the target, would hardly ever earn
 * the cost of an exploration.
 */
export function getConservativeQuality(option: PlanOption, confidence: number): number {
    return option.quality - getQuantile(confidence) * option.deviation / 2;
}

function getQuantile(confidence: number): number {
    let quantile = quantiles.get(confidence);
    if (quantile === undefined) {
        quantile = getNormalQuantile(confidence);
        quantiles.set(confidence, quantile);
    }
    return quantile;
}

/**
 * Returns the option with the highest expected quality. The lower bound is unsuitable here: it prefers a version that
 * is well known to miss the target over one that has not been used yet.
 */
export function getHighestQuality(options: readonly PlanOption[]): PlanOption {
    let highest = options[0];
    for (const option of options) {
        if (option.quality > highest.quality) {
            highest = option;
        }
    }
    return highest;
}

/** Returns the options whose expected quality and lower bound reach those of `reference`, each capped at the target. */
export function getAtLeastAsGood(
    options: readonly PlanOption[],
    reference: PlanOption,
    { targetQuality, confidence }: ModelRequest,
): readonly PlanOption[] {
    const minLowerBound = Math.min(targetQuality, getLowerBound(reference, confidence));
    const minQuality = Math.min(targetQuality, reference.quality);
    return options.filter(option => option.quality >= minQuality && getLowerBound(option, confidence) >= minLowerBound);
}

/** Returns the cheapest option for a request, or `undefined` if there are no options. */
export function getCheapest(options: readonly PlanOption[], request: ModelRequest): PlanOption | undefined {
    let cheapest: PlanOption | undefined;
    let lowestCost = Infinity;
    for (const option of options) {
        const cost = getPlanCost(option, request.inputTokens, request.outputTokens);
        if (cost < lowestCost) {
            lowestCost = cost;
            cheapest = option;
        }
    }
    return cheapest;
}

/** Checks whether a plan's first token arrives within the caller's limit. */
export function isInTime({ steps }: PlanOption, { isCascadeInTime }: ModelRequest): boolean {
    return steps.length < 2 || (isCascadeInTime?.(steps[0].version, steps[1].version) ?? true);
}

/**
 * Returns the options that are in time. If some are not, the single versions that they may have dominated are added
 * again.
 */
export function getInTime(
    options: readonly PlanOption[],
    singles: readonly PlanOption[],
    request: ModelRequest,
): readonly PlanOption[] {
    const inTime = options.filter(option => isInTime(option, request));
    return inTime.length === options.length ? options : [...inTime, ...singles];
}

/**
 * Returns the option with the highest saving per lost quality, among those whose shortfall a credit covers.
 * @param best - The plan that is used otherwise.
 * @param credit - Saved surplus quality that may be spent.
 */
export function getMostCostEffective(
    options: readonly PlanOption[],
    best: PlanOption,
    request: ModelRequest,
    credit: number,
): PlanOption | undefined {
    let mostCostEffective: PlanOption | undefined;
    let highest = 0;
    for (const option of options) {
        const savingPerLoss = getSavingPerLoss(option, best, request);
        const debit = request.targetQuality - getConservativeQuality(option, request.confidence);
        if (savingPerLoss > highest && debit <= credit) {
            mostCostEffective = option;
            highest = savingPerLoss;
        }
    }
    return mostCostEffective;
}

/** Returns the saved cost per lost quality. */
function getSavingPerLoss(option: PlanOption, best: PlanOption, request: ModelRequest): number {
    const { inputTokens, outputTokens, confidence } = request;
    const saved = getPlanCost(best, inputTokens, outputTokens) - getPlanCost(option, inputTokens, outputTokens);
    const lost = getConservativeQuality(best, confidence) - getConservativeQuality(option, confidence);
    return saved / Math.max(minLoss, lost);
}

/** Returns the probability that an option meets the target, and its expected shortfall. */
export function getExpectation(option: PlanOption, target: number): { probability: number; shortfall: number; } {
    const distance = (target - option.quality) / option.deviation;
    const below = getNormalProbability(distance);
    const density = Math.exp(-distance * distance / 2) / Math.sqrt(2 * Math.PI);
    return { probability: 1 - below, shortfall: option.deviation * (distance * below + density) };
}

/** Checks whether one version costs less than another for requests of any size. */
export function isCheaper(one: ModelVersion, other: ModelVersion): boolean {
    return one.inputPrice < other.inputPrice && one.outputPrice <= other.outputPrice
        || one.inputPrice <= other.inputPrice && one.outputPrice < other.outputPrice;
}

/** Returns a string that changes with every property of the candidates that plans depend on. */
export function getSignature(candidates: readonly ModelVersion[]): string {
    let signature = "";
    for (const { id, inputPrice, outputPrice, expectedQuality } of candidates) {
        signature += `${id},${inputPrice},${outputPrice},${expectedQuality};`;
    }
    return signature;
}

/** Returns the surplus quality that a plan spends. A negative value is earned. */
export function getDebit(option: PlanOption, { targetQuality, confidence }: ModelRequest): number {
    return targetQuality - getConservativeQuality(option, confidence);
}

/** Creates the plan for a request from an option. */
export function createPlan(option: PlanOption, request: ModelRequest, isExploring: boolean, reason: string): Plan {
    return {
        steps: option.steps,
        expectedCost: getPlanCost(option, request.inputTokens, request.outputTokens),
        expectedQuality: option.quality,
        isExploring,
        reason,
    };
}

/** Returns the reason for a plan's choice, for logs and `rattanlock status`. */
export function getReason(option: PlanOption, margin: number, hasRatings: boolean): string {
    if (margin < 0) {
        return `surest ${option.steps.length > 1 ? "cascade" : "version"}, since nothing is known to meet the target`;
    }
    const kind = option.steps.length > 1 ? "cheapest cascade" : "cheapest version";
    return hasRatings ? `${kind} that meets the target` : `${kind} that meets the target, without ratings`;
}
