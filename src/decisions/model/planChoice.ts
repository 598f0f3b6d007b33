/**
 * Compares plans for a request: by cost, by the quality that is sure, and by what trying them is worth.
 */
import type { ModelVersion } from "../../world/index.js";
import type { ModelRequest } from "./modelRequest.js";
import { getNormalProbability, getNormalQuantile } from "./normal.js";
import { getPlanCost, type PlanOption } from "./plan.js";

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

const quantiles = new Map<number, number>();

/** Gets the quality that an option reaches with a probability. */
export function getLowerBound(option: PlanOption, confidence: number): number {
    return option.quality - getQuantile(confidence) * option.deviation;
}

/**
 * Gets the quality by which saved surplus is reckoned: halfway from the expected quality to its lower bound. Reckoned by
 * the lower bound, the cheapest sure plan, which just meets the target, would hardly ever earn what a try costs.
 */
export function getLikelyQuality(option: PlanOption, confidence: number): number {
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
 * Gets the option with the highest expected quality. The lower bound would not do here: it favours a version that is
 * well known to miss the target over one that nobody has tried yet.
 */
export function getSurest(options: readonly PlanOption[]): PlanOption {
    let surest = options[0];
    for (const option of options) {
        if (option.quality > surest.quality) {
            surest = option;
        }
    }
    return surest;
}

/** Gets the options that are no less sure than one, as far as the target asks for it. */
export function getNoLessSure(
    options: readonly PlanOption[],
    surest: PlanOption,
    { targetQuality, confidence }: ModelRequest,
): readonly PlanOption[] {
    const lower = Math.min(targetQuality, getLowerBound(surest, confidence));
    const mean = Math.min(targetQuality, surest.quality);
    return options.filter(option => option.quality >= mean && getLowerBound(option, confidence) >= lower);
}

/** Gets the cheapest option for a request, or `undefined`. */
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

/** Checks whether a plan keeps the caller waiting no longer than it may. */
export function isInTime({ steps }: PlanOption, { isCascadeInTime }: ModelRequest): boolean {
    return steps.length < 2 || (isCascadeInTime?.(steps[0].version, steps[1].version) ?? true);
}

/**
 * Gets the options that are in time. A cascade that is not may have undercut a single version, which then counts again.
 */
export function getInTime(
    options: readonly PlanOption[],
    singles: readonly PlanOption[],
    request: ModelRequest,
): readonly PlanOption[] {
    const inTime = options.filter(option => isInTime(option, request));
    return inTime.length === options.length ? options : [...inTime, ...singles];
}

/** Checks whether one option costs less than another for a request. */
export function isCheaperPlan(one: PlanOption, other: PlanOption, request: ModelRequest): boolean {
    const { inputTokens, outputTokens } = request;
    return getPlanCost(one, inputTokens, outputTokens) < getPlanCost(other, inputTokens, outputTokens);
}

/** Gets what a try is worth: what it may save, by the probability that it turns out to be of use. */
export function getTryWeight(candidate: Try, best: PlanOption, request: ModelRequest): number {
    const { inputTokens, outputTokens, targetQuality } = request;
    const cost = getPlanCost(candidate.hoped, inputTokens, outputTokens);
    const bestCost = getPlanCost(best, inputTokens, outputTokens);
    if (best.quality < targetQuality && candidate.option.steps.length === 1) {
        return candidate.probability * Math.max(bestCost, cost);
    }
    return candidate.probability * Math.max(0, bestCost - cost);
}

/** Gets how likely an option meets the target, and how much it is expected to fall short of it. */
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

/** Gets a text that changes with anything about the candidates that a plan depends on. */
export function getSignature(candidates: readonly ModelVersion[]): string {
    let signature = "";
    for (const { id, inputPrice, outputPrice, expectedQuality } of candidates) {
        signature += `${id},${inputPrice},${outputPrice},${expectedQuality};`;
    }
    return signature;
}
