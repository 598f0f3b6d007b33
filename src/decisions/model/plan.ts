/** Plans: which versions answer a request, and when an answer is final. */
import type { ModelVersion } from "../../world/index.js";

/** One step of a plan. */
export interface PlanStep {
    readonly version: ModelVersion;
    /**
     * The rating at or above which this step's answer is final. With `undefined` the answer is final without a rating.
     * An answer whose required rating is missing counts as below it.
     */
    readonly acceptScore: number | undefined;
}

/** Represents how one request is answered. */
export interface Plan {
    /** One step is a single version, several are a cascade. It is empty only if there is no candidate. */
    readonly steps: readonly PlanStep[];
    readonly expectedCost: number;
    readonly expectedQuality: number;
    /** Whether the plan was chosen as an exploration, paid for by surplus quality. All its answers should be rated. */
    readonly isExploring: boolean;
    /** For logs and `rattanlock status`. */
    readonly reason: string;
}

/** A plan whose request size is not known yet. Its cost is linear in the number of tokens. */
export interface PlanOption {
    readonly steps: readonly PlanStep[];
    /** Price of a million input tokens, over all steps. */
    readonly inputPrice: number;
    /** Price of a million output tokens, over all steps. */
    readonly outputPrice: number;
    /** Cost of each request regardless of its size, for ratings. */
    readonly fixedPrice: number;
    readonly quality: number;
    /** Standard deviation of the estimate `quality`. */
    readonly deviation: number;
}

/** Returns the expected cost of a request under a plan. */
export function getPlanCost(option: PlanOption, inputTokens: number, outputTokens: number): number {
    const tokens = inputTokens * option.inputPrice + outputTokens * option.outputPrice;
    return tokens / 1_000_000 + option.fixedPrice;
}

/** Removes each plan that another one dominates, being no more expensive for requests of any size. */
export function getUndominated(options: readonly PlanOption[]): readonly PlanOption[] {
    const sorted = [...options].sort((left, right) => left.inputPrice - right.inputPrice);
    const undominated: PlanOption[] = [];
    for (const option of sorted) {
        // In this order the last retained option is the one most likely to dominate the next.
        if (
            undominated.length === 0
            || !dominates(undominated[undominated.length - 1], option)
                && !undominated.some(other => dominates(other, option))
        ) {
            undominated.push(option);
        }
    }
    return undominated;
}

function dominates(one: PlanOption, other: PlanOption): boolean {
    return one.inputPrice <= other.inputPrice && one.outputPrice <= other.outputPrice
        && one.fixedPrice <= other.fixedPrice;
}
