/**
 * Compares plans for a request: by cost, by the quality that is sure, and by what trying them is worth.
 */
import type { ModelVersion } from "../../world/index.js";
import type { ModelRequest } from "./modelRequest.js";
import { getNormalProbability, getNormalQuantile } from "./normal.js";
import { getPlanCost, type Plan, type PlanOption } from "./plan.js";

/** Less quality given up is not told apart. */
const minLoss = 0.001;

const quantiles = new Map<number, number>();

/** Gets the quality that an option reaches with a probability. */
export function getLowerBound(option: PlanOption, confidence: number): number {
    return option.quality - getQuantile(confidence) * option.deviation;
}

/**
 * Gets the quality by which saved surplus is reckoned: halfway from the expected quality to its lower bound. Reckoned by
 * the lower bound, the cheapest sure plan, which just meets the target, would hardly ever earn what a try costs.
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
 * Gets the option with the highest expected quality. The lower bound would not do here: it favours a version that is
 * well known to miss the target over one that nobody has tried yet.
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

/** Gets the options that are no less sure than one, as far as the target asks for it. */
export function getNoWorse(
    options: readonly PlanOption[],
    reference: PlanOption,
    { targetQuality, confidence }: ModelRequest,
): readonly PlanOption[] {
    const lower = Math.min(targetQuality, getLowerBound(reference, confidence));
    const mean = Math.min(targetQuality, reference.quality);
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

/**
 * Gets the option that saves most for the quality that it gives up, among those that a credit covers.
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

/** Gets the saved cost by the quality given up. */
function getSavingPerLoss(option: PlanOption, best: PlanOption, request: ModelRequest): number {
    const { inputTokens, outputTokens, confidence } = request;
    const saved = getPlanCost(best, inputTokens, outputTokens) - getPlanCost(option, inputTokens, outputTokens);
    const lost = getConservativeQuality(best, confidence) - getConservativeQuality(option, confidence);
    return saved / Math.max(minLoss, lost);
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

/** Gets the surplus quality that a plan spends; a negative one is earned. */
export function getDebit(option: PlanOption, { targetQuality, confidence }: ModelRequest): number {
    return targetQuality - getConservativeQuality(option, confidence);
}

/** Makes the plan for a request from an option. */
export function createPlan(option: PlanOption, request: ModelRequest, exploring: boolean, reason: string): Plan {
    return {
        steps: option.steps,
        expectedCost: getPlanCost(option, request.inputTokens, request.outputTokens),
        expectedQuality: option.quality,
        exploring,
        reason,
    };
}

/** Gets why a plan was chosen, for logs and `rattanlock status`. */
export function getReason(option: PlanOption, margin: number, hasRatings: boolean): string {
    if (margin < 0) {
        return `surest ${option.steps.length > 1 ? "cascade" : "version"}, since nothing is known to meet the target`;
    }
    const kind = option.steps.length > 1 ? "cheapest cascade" : "cheapest version";
    return hasRatings ? `${kind} that meets the target` : `${kind} that meets the target, without ratings`;
}
