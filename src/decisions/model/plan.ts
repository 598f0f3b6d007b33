/** Plans: which versions answer a request, and when an answer is final. */
import type { ModelVersion } from "../../world/index.js";

/** One step of a plan. */
export interface PlanStep {
    readonly version: ModelVersion;
    /**
     * The rating at or above which this step's answer is final. `undefined`: the answer is final without a rating.
     * An answer that should be rated and isn't counts as below it.
     */
    readonly acceptScore: number | undefined;
}

/** How to answer one request. */
export interface Plan {
    /** One step is a single version, more are a cascade. Empty only if there is no candidate. */
    readonly steps: readonly PlanStep[];
    readonly expectedCost: number;
    readonly expectedQuality: number;
    /** Whether the plan was chosen to learn, paid for by surplus quality. Its answers should all be sent to be rated. */
    readonly exploring: boolean;
    /** For logs and `rattanlock status`. */
    readonly reason: string;
}

/** A plan before the size of a request is known. Its cost is linear in the tokens. */
export interface PlanOption {
    readonly steps: readonly PlanStep[];
    /** Price of a million input tokens, over all steps. */
    readonly inputPrice: number;
    /** Price of a million output tokens, over all steps. */
    readonly outputPrice: number;
    /** What each request costs whatever its size: ratings. */
    readonly fixedPrice: number;
    readonly quality: number;
    /** Standard deviation of `quality`, which is an estimate. */
    readonly deviation: number;
}

/** Gets the expected cost of a request under a plan. */
export function getPlanCost(option: PlanOption, inputTokens: number, outputTokens: number): number {
    const tokens = inputTokens * option.inputPrice + outputTokens * option.outputPrice;
    return tokens / 1_000_000 + option.fixedPrice;
}

/** Leaves out every plan that another one undercuts for requests of any size. */
export function getUndominated(options: readonly PlanOption[]): readonly PlanOption[] {
    const sorted = [...options].sort((left, right) => left.inputPrice - right.inputPrice);
    const undominated: PlanOption[] = [];
    for (const option of sorted) {
        // In this order the one kept last is the one that most often undercuts the next.
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
