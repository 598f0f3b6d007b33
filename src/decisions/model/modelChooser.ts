/**
 * Chooses the cheapest plan whose expected quality meets the target with the stated confidence.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";
import { type Estimate, getEstimate } from "./estimate.js";
import type { Evidence } from "./evidence.js";
import { getNormalQuantile } from "./normal.js";
import { getPlanCost, getUndominated, type Plan, type PlanOption } from "./plan.js";
import { getCascadeOptions, getHardness, getSingleOption, type PlanSettings } from "./planOptions.js";

/** Evidence changes with every rating; plans needn't. */
const refreshMilliseconds = 3000;
/** At most this share of a class's requests explores. */
const maximumExploringShare = 0.2;
/** Surplus quality that can be saved up, so that a good day doesn't pay for a burst of bad answers. */
const maximumCredit = 5;
/** Surplus quality that is advanced to a class never seen before, to be earned back. */
const startingCredit = 1;
/** A version with fewer recent ratings is tried as the first step of a cascade. */
const wellKnownRatings = 40;
/** Quality that a try as the first step of a cascade is taken to cost. */
const cascadeTryDebit = 0.02;

/** Options of `ModelChooser`. */
export interface ModelChooserOptions extends Partial<PlanSettings> {
    readonly evidence: Evidence;
    readonly random: RandomSource;
    readonly clock: Clock;
}

/** What a plan is chosen for. */
export interface ModelRequest {
    readonly requestClass: string;
    /** The versions that the workspace allows and that take new work. */
    readonly candidates: readonly ModelVersion[];
    /** Expected rated quality to reach, from 0 to 1. */
    readonly targetQuality: number;
    /** Probability with which the target is to be met, such as 0.95. */
    readonly confidence: number;
    readonly inputTokens: number;
    readonly outputTokens: number;
    /** Whether the rating service answers; without it there are no cascades and nothing is tried. True by default. */
    readonly ratingsAvailable?: boolean;
}

interface ClassState {
    /** What the plans were formed for. */
    candidates: readonly ModelVersion[];
    signature: string;
    targetQuality: number;
    confidence: number;
    revision: number;
    formedAt: number;
    /** Plans that meet the target with confidence, dominated ones left out. */
    singles: readonly PlanOption[];
    all: readonly PlanOption[];
    /** Plans that meet it more likely than not; they are used as far as saved surplus quality covers the doubt. */
    probable: readonly PlanOption[];
    /** The surest plan, for when none meets the target. */
    surest: PlanOption;
    /** Plans that may turn out to meet the target for less. */
    tries: readonly Try[];
    /** Surplus quality saved up in this class, in answers times quality. */
    credit: number;
}

interface Try {
    readonly option: PlanOption;
    /** Quality that it may cost. */
    readonly debit: number;
}

/** Decides which version or cascade answers a request. */
export class ModelChooser {
    readonly #evidence: Evidence;
    readonly #random: RandomSource;
    readonly #clock: Clock;
    readonly #settings: PlanSettings;
    readonly #states = new Map<string, ClassState>();

    constructor(options: ModelChooserOptions) {
        this.#evidence = options.evidence;
        this.#random = options.random;
        this.#clock = options.clock;
        this.#settings = {
            ratingReliability: options.ratingReliability ?? 0.85,
            ratedShare: options.ratedShare ?? 0.95,
            ratingPrice: options.ratingPrice ?? 0,
        };
    }

    /**
     * Chooses the plan for a request.
     * @param request - Its class, size, candidates and target.
     */
    choose(request: ModelRequest): Plan {
        if (request.candidates.length === 0) {
            return { steps: [], expectedCost: 0, expectedQuality: 0, exploring: false, reason: "no candidate" };
        }
        const ratings = request.ratingsAvailable ?? true;
        const state = this.#getState(request);
        const best = getCheapest(ratings ? state.all : state.singles, request) ?? state.surest;
        const margin = getLowerBound(best, request.confidence) - request.targetQuality;
        if (ratings) {
            const tried = this.#chooseTry(state, best, request);
            if (tried !== undefined) {
                return createPlan(tried, request, true, "explores with saved surplus quality");
            }
        }
        const probable = ratings ? this.#chooseProbable(state, best, request) : undefined;
        if (probable !== undefined) {
            return createPlan(probable, request, false, "cheaper plan, its doubt covered by saved surplus quality");
        }
        state.credit = Math.min(maximumCredit, state.credit + Math.max(0, margin));
        return createPlan(best, request, false, getReason(best, margin, ratings));
    }

    /** Chooses a plan that probably meets the target, if surplus quality covers what it may fall short. */
    #chooseProbable(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        const option = getCheapest(state.probable, request);
        if (option === undefined || option === best || !isCheaperPlan(option, best, request)) {
            return undefined;
        }
        const debit = request.targetQuality - getLowerBound(option, request.confidence);
        if (debit > state.credit) {
            return undefined;
        }
        state.credit -= debit;
        return option;
    }

    #chooseTry(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        if (state.tries.length === 0 || this.#random.next() >= maximumExploringShare) {
            return undefined;
        }
        const cost = getPlanCost(best, request.inputTokens, request.outputTokens);
        const affordable = state.tries.filter(({ option, debit }) =>
            debit <= state.credit && isWorthTrying(option, best, cost, request)
        );
        if (affordable.length === 0) {
            return undefined;
        }
        const chosen = affordable[this.#random.nextInteger(affordable.length)];
        state.credit -= chosen.debit;
        return chosen.option;
    }

    #getState(request: ModelRequest): ClassState {
        const key = request.requestClass;
        const known = this.#states.get(key);
        if (known !== undefined && this.#isFresh(known, request)) {
            return known;
        }
        const state = this.#formState(request, known?.credit ?? startingCredit);
        this.#states.set(key, state);
        return state;
    }

    #isFresh(state: ClassState, request: ModelRequest): boolean {
        if (state.targetQuality !== request.targetQuality || state.confidence !== request.confidence) {
            return false;
        }
        if (state.candidates !== request.candidates && state.signature !== getSignature(request.candidates)) {
            return false;
        }
        const age = this.#clock.monotonic() - state.formedAt;
        return age < refreshMilliseconds
            || state.revision === this.#evidence.revision && age < 5 * refreshMilliseconds;
    }

    #formState(request: ModelRequest, credit: number): ClassState {
        const { candidates, requestClass, targetQuality, confidence } = request;
        const estimates = candidates.map(version => getEstimate(this.#evidence, version, requestClass));
        const singles = estimates.map(getSingleOption);
        const meets = (option: PlanOption) => getLowerBound(option, confidence) >= targetQuality;
        const sufficient = singles.filter(meets);
        const cascades: PlanOption[] = [];
        const hardness = getHardness(this.#evidence, requestClass, estimates);
        for (const first of estimates) {
            // A cascade costs more than its first step, so it can't undercut a single version that is cheaper than that.
            if (sufficient.some(option => !isCheaper(first.version, option.steps[0].version))) {
                continue;
            }
            for (const second of estimates) {
                if (isCheaper(first.version, second.version)) {
                    cascades.push(...getCascadeOptions(first, second, hardness, this.#settings));
                }
            }
        }
        const surest = getSurest(singles, confidence);
        return {
            candidates,
            signature: getSignature(candidates),
            targetQuality,
            confidence,
            revision: this.#evidence.revision,
            formedAt: this.#clock.monotonic(),
            singles: getUndominated(sufficient),
            all: getUndominated([...sufficient, ...cascades.filter(meets)]),
            probable: getUndominated([...singles, ...cascades].filter(option => option.quality >= targetQuality)),
            surest,
            tries: this.#formTries(request, estimates, surest),
            credit,
        };
    }

    #formTries(request: ModelRequest, estimates: readonly Estimate[], surest: PlanOption): readonly Try[] {
        const tries: Try[] = [];
        const last = surest.steps[0].version;
        for (const estimate of estimates) {
            const single = getSingleOption(estimate);
            const lower = getLowerBound(single, request.confidence);
            const upper = 2 * single.quality - lower;
            if (upper >= request.targetQuality && lower < request.targetQuality) {
                tries.push({ option: single, debit: Math.max(0, request.targetQuality - lower) });
            }
            else if (estimate.tally.ratings < wellKnownRatings && isCheaper(estimate.version, last)) {
                tries.push({ option: this.#formCascadeTry(estimate, surest, request), debit: cascadeTryDebit });
            }
        }
        return tries;
    }

    /** Forms a cascade whose first step is little known; only an answer rated at the target is taken from it. */
    #formCascadeTry(estimate: Estimate, surest: PlanOption, request: ModelRequest): PlanOption {
        const last = surest.steps[0].version;
        return {
            steps: [
                { version: estimate.version, acceptScore: request.targetQuality },
                { version: last, acceptScore: undefined },
            ],
            inputPrice: estimate.version.inputPrice + last.inputPrice,
            outputPrice: estimate.version.outputPrice + last.outputPrice,
            fixedPrice: this.#settings.ratingPrice,
            quality: request.targetQuality,
            deviation: surest.deviation,
        };
    }
}

const quantiles = new Map<number, number>();

function getLowerBound(option: PlanOption, confidence: number): number {
    let quantile = quantiles.get(confidence);
    if (quantile === undefined) {
        quantile = getNormalQuantile(confidence);
        quantiles.set(confidence, quantile);
    }
    return option.quality - quantile * option.deviation;
}

function getSurest(options: readonly PlanOption[], confidence: number): PlanOption {
    let surest = options[0];
    for (const option of options) {
        if (getLowerBound(option, confidence) > getLowerBound(surest, confidence)) {
            surest = option;
        }
    }
    return surest;
}

function getCheapest(options: readonly PlanOption[], request: ModelRequest): PlanOption | undefined {
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

function isCheaperPlan(one: PlanOption, other: PlanOption, request: ModelRequest): boolean {
    const { inputTokens, outputTokens } = request;
    return getPlanCost(one, inputTokens, outputTokens) < getPlanCost(other, inputTokens, outputTokens);
}

function isWorthTrying(option: PlanOption, best: PlanOption, bestCost: number, request: ModelRequest): boolean {
    if (option.steps.length > 1) {
        const first = option.steps[0].version;
        const firstCost = (first.inputPrice * request.inputTokens + first.outputPrice * request.outputTokens)
            / 1_000_000;
        return firstCost < bestCost / 2;
    }
    const cheaper = getPlanCost(option, request.inputTokens, request.outputTokens) < bestCost;
    return cheaper || best.quality < request.targetQuality;
}

function isCheaper(one: ModelVersion, other: ModelVersion): boolean {
    return one.inputPrice < other.inputPrice && one.outputPrice <= other.outputPrice
        || one.inputPrice <= other.inputPrice && one.outputPrice < other.outputPrice;
}

function getSignature(candidates: readonly ModelVersion[]): string {
    let signature = "";
    for (const { id, inputPrice, outputPrice, expectedQuality } of candidates) {
        signature += `${id},${inputPrice},${outputPrice},${expectedQuality};`;
    }
    return signature;
}

function createPlan(option: PlanOption, request: ModelRequest, exploring: boolean, reason: string): Plan {
    return {
        steps: option.steps,
        expectedCost: getPlanCost(option, request.inputTokens, request.outputTokens),
        expectedQuality: option.quality,
        exploring,
        reason,
    };
}

function getReason(option: PlanOption, margin: number, ratings: boolean): string {
    if (margin < 0) {
        return "surest version, since nothing is known to meet the target";
    }
    const kind = option.steps.length > 1 ? "cheapest cascade" : "cheapest version";
    return ratings ? `${kind} that meets the target` : `${kind} that meets the target, without ratings`;
}
