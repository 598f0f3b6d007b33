/**
 * Chooses the cheapest plan whose expected quality meets the target with the stated confidence.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";
import type { Difficulty } from "./difficulty.js";
import type { Evidence } from "./evidence.js";
import {
    type Exploration,
    getCascadeExplorations,
    getExplorationWeight,
    getSingleExplorations,
} from "./explorations.js";
import type { ModelRequest } from "./modelRequest.js";
import { getUndominated, type Plan, type PlanOption } from "./plan.js";
import {
    createPlan,
    getCheapest,
    getConservativeQuality,
    getDebit,
    getHighestQuality,
    getInTime,
    getLowerBound,
    getMostCostEffective,
    getNoWorse,
    getReason,
    getSignature,
    isCheaper,
    isInTime,
} from "./planChoice.js";
import { getCascadeOptions, getSingleOption, type PlanSettings } from "./planOptions.js";
import type { QualityEstimate } from "./qualityEstimate.js";
import { QualityModel } from "./qualityModel.js";

/** Evidence changes with every rating; plans needn't. */
const refreshMilliseconds = 3000;
/** Plans of this age are not used again: they may send a request to a version that has long turned bad. */
const maxPlanAgeMilliseconds = 10 * refreshMilliseconds;
/** At most this share of a class's requests explores. */
const maxExplorationShare = 0.2;
/** Surplus quality that can be saved up, so that a good day doesn't pay for a burst of bad answers. */
const maxCredit = 5;
/** Surplus quality that is advanced to a class never seen before, to be earned back. */
const initialCredit = 1;
/** Ratings in a class that make up for the operator's expectations. */
const sufficientRatings = 100;

/** Standard deviations by which a version may be expected to miss the target and still be used without ratings. */
const possibleDeviations = 0.67;

/** Options of `ModelChooser`. */
export interface ModelChooserOptions extends Partial<PlanSettings> {
    readonly evidence: Evidence;
    readonly random: RandomSource;
    readonly clock: Clock;
    /** Runs a step later, such as `setImmediate`; by default plans are formed while a request waits. */
    readonly schedule?: (step: () => void) => void;
}

interface ClassState {
    /** What the plans were formed for. */
    candidates: readonly ModelVersion[];
    signature: string;
    targetQuality: number;
    confidence: number;
    createdAt: number;
    /** Whether new plans are under way. */
    isRefreshing: boolean;
    /** Plans that meet the target with confidence, dominated ones left out. */
    sufficientSingles: readonly PlanOption[];
    sufficientPlans: readonly PlanOption[];
    /** Plans that meet it more likely than not; they are used as far as saved surplus quality covers the doubt. */
    probablePlans: readonly PlanOption[];
    probableSingles: readonly PlanOption[];
    /** Single versions that may meet it, for when there are no ratings. */
    possibleSingles: readonly PlanOption[];
    /** The surest version, for when nothing is known to meet the target. */
    highestQuality: PlanOption;
    /** Plans that are no less sure than that version; a cascade that ends with it often is, for less. */
    fallbacks: readonly PlanOption[];
    fallbackSingles: readonly PlanOption[];
    /** Whether ratings and not the operator's expectations speak for the plans. */
    hasSufficientRatings: boolean;
    /** Plans that may turn out to meet the target for less. */
    readonly getExplorations: () => readonly Exploration[];
    /** Surplus quality saved up in this class, in answers times quality. */
    credit: number;
}

/** Decides which version or cascade answers a request. */
export class ModelChooser {
    readonly #qualities: QualityModel;
    readonly #random: RandomSource;
    readonly #clock: Clock;
    readonly #schedule: ModelChooserOptions["schedule"];
    readonly #settings: PlanSettings;
    readonly #states = new Map<string, ClassState>();

    constructor(options: ModelChooserOptions) {
        this.#qualities = new QualityModel(options.evidence, options.clock);
        this.#random = options.random;
        this.#clock = options.clock;
        this.#schedule = options.schedule;
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
        const hasRatings = request.ratingsAvailable ?? true;
        const state = this.#getState(request);
        const best = this.#chooseSufficient(state, request, hasRatings);
        const margin = getLowerBound(best, request.confidence) - request.targetQuality;
        const surplus = getConservativeQuality(best, request.confidence) - request.targetQuality;
        if (hasRatings) {
            const exploration = this.#chooseExploration(state, best, request);
            if (exploration !== undefined) {
                return createPlan(exploration, request, true, "explores with saved surplus quality");
            }
        }
        const probable = this.#chooseProbable(state, best, request);
        if (probable !== undefined) {
            return createPlan(probable, request, false, "cheaper plan, its doubt covered by saved surplus quality");
        }
        state.credit = Math.min(maxCredit, state.credit + Math.max(0, surplus));
        return createPlan(best, request, false, getReason(best, margin, hasRatings));
    }

    /** Chooses the cheapest plan that surely meets the target; where none does, the cheapest that is as sure as any. */
    #chooseSufficient(state: ClassState, request: ModelRequest, hasRatings: boolean): PlanOption {
        const sufficient = hasRatings
            ? getInTime(state.sufficientPlans, state.sufficientSingles, request)
            : state.sufficientSingles;
        const fallbacks = hasRatings
            ? getInTime(state.fallbacks, state.fallbackSingles, request)
            : state.fallbackSingles;
        return getCheapest(sufficient, request) ?? getCheapest(fallbacks, request) ?? state.highestQuality;
    }

    /** Chooses a plan that probably meets the target, if saved surplus quality covers what it may fall short. */
    #chooseProbable(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        const option = request.ratingsAvailable ?? true
            ? getCheapest([best, ...getInTime(state.probablePlans, state.probableSingles, request)], request)!
            : this.#choosePossibleSingle(state, best, request);
        const debit = getDebit(option, request);
        // The advance is for tries while there are any: spent here, it would give a class never seen before to a version
        // that only the operator's expectation speaks for.
        if (option === best || debit > state.credit - getReservedCredit(state, request)) {
            return undefined;
        }
        state.credit = Math.min(maxCredit, state.credit - debit);
        return option;
    }

    /**
     * Chooses the cheapest version that likely meets the target, or one that may fall short of it if saved surplus covers
     * that. Without cascades the next sure version often costs several times as much.
     */
    #choosePossibleSingle(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption {
        const likely = state.possibleSingles.filter(option => getDebit(option, request) <= 0);
        const cheapestLikely = getCheapest([best, ...likely], request)!;
        const credit = state.credit - getReservedCredit(state, request);
        return getMostCostEffective(state.possibleSingles, cheapestLikely, request, credit) ?? cheapestLikely;
    }

    #chooseExploration(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        if (this.#random.next() >= maxExplorationShare) {
            return undefined;
        }
        const explorations = state.getExplorations();
        // Nothing earns credit while no version meets the target. A version that had a few unlucky ratings would then
        // never be tried again, and the class would stay below its target for good.
        const isTargetUnmet = best.quality < request.targetQuality;
        const fallback = getCheapest(state.sufficientSingles, request) ?? state.highestQuality;
        const weights: number[] = [];
        let total = 0;
        for (const candidate of explorations) {
            const isAffordable = isTargetUnmet || candidate.debit <= state.credit;
            const isEligible = isAffordable && isInTime(candidate.option, request);
            const weight = isEligible ? getExplorationWeight(candidate, best, fallback, request) : 0;
            weights.push(weight);
            total += weight;
        }
        let point = this.#random.next() * total;
        for (const [index, { option, debit }] of explorations.entries()) {
            point -= weights[index];
            if (weights[index] > 0 && point < 0) {
                state.credit = isTargetUnmet ? state.credit : state.credit - debit;
                return option;
            }
        }
        return undefined;
    }

    /**
     * Gets the plans of a class. Plans that are due are formed anew after the request, in steps that let the tokens pass
     * that the same loop carries; only plans that nobody asked for in a long time are formed at once.
     */
    #getState(request: ModelRequest): ClassState {
        const { requestClass, candidates } = request;
        const known = this.#states.get(requestClass);
        if (known === undefined || !matchesRequest(known, request)) {
            for (const version of candidates) {
                this.#qualities.ensureRead(version, requestClass);
            }
            this.#qualities.fit(requestClass, candidates);
            return this.#replaceState(request, known?.credit ?? initialCredit);
        }
        const age = this.#clock.monotonic() - known.createdAt;
        if (age < refreshMilliseconds) {
            return known;
        }
        if (this.#schedule === undefined || age >= maxPlanAgeMilliseconds) {
            for (const version of candidates) {
                this.#qualities.refresh(version, requestClass);
            }
            this.#qualities.fit(requestClass, candidates);
            return this.#replaceState(request, known.credit);
        }
        if (!known.isRefreshing) {
            known.isRefreshing = true;
            this.#schedule(() => this.#refreshInSteps(known, request, 0));
        }
        return known;
    }

    /** Reads the counts of one version, or fits what they share and then forms the plans once all were read. */
    #refreshInSteps(state: ClassState, request: ModelRequest, next: number): void {
        const { requestClass, candidates } = request;
        if (this.#states.get(requestClass) !== state) {
            return;
        }
        for (let index = next; index < candidates.length; index += 1) {
            if (this.#qualities.refresh(candidates[index], requestClass)) {
                this.#schedule?.(() => this.#refreshInSteps(state, request, index + 1));
                return;
            }
        }
        this.#qualities.fit(requestClass, candidates);
        this.#schedule?.(() => {
            if (this.#states.get(requestClass) === state) {
                this.#replaceState(request, state.credit);
            }
        });
    }

    #replaceState(request: ModelRequest, credit: number): ClassState {
        const state = this.#createState(request, credit);
        this.#states.set(request.requestClass, state);
        return state;
    }

    #createState(request: ModelRequest, credit: number): ClassState {
        const { candidates, requestClass, targetQuality, confidence } = request;
        const estimates = candidates.map(version => this.#qualities.getEstimate(version, requestClass));
        const singles = estimates.map(getSingleOption);
        const meets = (option: PlanOption) => getLowerBound(option, confidence) >= targetQuality;
        const isProbable = (option: PlanOption) => option.quality >= targetQuality;
        const isPossible = (option: PlanOption) =>
            option.quality + possibleDeviations * option.deviation >= targetQuality;
        const sufficientSingles = singles.filter(meets);
        const cascades: PlanOption[] = [];
        const difficulty = this.#qualities.getDifficulty(requestClass);
        for (const first of estimates) {
            // A cascade costs more than its first step, so it can't undercut a single version that is cheaper than that.
            if (sufficientSingles.some(option => !isCheaper(first.version, option.steps[0].version))) {
                continue;
            }
            for (const second of estimates) {
                if (isCheaper(first.version, second.version)) {
                    cascades.push(...getCascadeOptions(first, second, difficulty, this.#settings));
                }
            }
        }
        const sufficientPlans = getUndominated([...sufficientSingles, ...cascades.filter(meets)]);
        const highestQuality = getHighestQuality(singles);
        const fallbacks = sufficientPlans.length > 0
            ? []
            : getUndominated(getNoWorse([...singles, ...cascades], highestQuality, request));
        const best = getCheapest(sufficientPlans, request) ?? getCheapest(fallbacks, request) ?? highestQuality;
        return {
            candidates,
            signature: getSignature(candidates),
            targetQuality,
            confidence,
            isRefreshing: false,
            createdAt: this.#clock.monotonic(),
            sufficientSingles: getUndominated(sufficientSingles),
            sufficientPlans,
            probablePlans: getUndominated([...singles, ...cascades].filter(isProbable)),
            probableSingles: getUndominated(singles.filter(isProbable)),
            possibleSingles: singles.filter(isPossible),
            highestQuality,
            fallbacks,
            fallbackSingles: getUndominated(getNoWorse(singles, highestQuality, request)),
            hasSufficientRatings: countRatings(estimates) >= sufficientRatings,
            getExplorations: memoize(() => this.#createExplorations(request, estimates, difficulty, best)),
            credit,
        };
    }

    #createExplorations(
        request: ModelRequest,
        estimates: readonly QualityEstimate[],
        difficulty: Difficulty,
        best: PlanOption,
    ): readonly Exploration[] {
        const singles = getSingleExplorations(estimates, request);
        const cascades = getCascadeExplorations({ estimates, difficulty, request, best, settings: this.#settings });
        return [...singles, ...cascades];
    }
}

/** Checks whether plans were formed for the candidates, prices and target of a request. */
function matchesRequest(state: ClassState, request: ModelRequest): boolean {
    if (state.targetQuality !== request.targetQuality || state.confidence !== request.confidence) {
        return false;
    }
    return state.candidates === request.candidates || state.signature === getSignature(request.candidates);
}

/** Few decisions need the tries, which take as long to form as the plans. */
function memoize<T>(create: () => T): () => T {
    let cached: { readonly value: T; } | undefined;
    return () => (cached ??= { value: create() }).value;
}

/** Gets the credit that is kept for tries. */
function getReservedCredit(state: ClassState, request: ModelRequest): number {
    return (request.ratingsAvailable ?? true) || !state.hasSufficientRatings ? initialCredit : 0;
}

function countRatings(estimates: readonly QualityEstimate[]): number {
    let ratings = 0;
    for (const { scores } of estimates) {
        ratings += scores.ratings;
    }
    return ratings;
}
