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
    getAtLeastAsGood,
    getCheapest,
    getConservativeQuality,
    getDebit,
    getHighestQuality,
    getInTime,
    getLowerBound,
    getMostCostEffective,
    getReason,
    getSignature,
    isCheaper,
    isInTime,
} from "./planChoice.js";
import { getCascadeOptions, getSingleOption, type PlanSettings } from "./planOptions.js";
import type { QualityEstimate } from "./qualityEstimate.js";
import { QualityModel } from "./qualityModel.js";

/** Interval between plan refreshes. The evidence changes with every rating, but the plans need not. */
const refreshMilliseconds = 3000;
/** Plans of this age are not used any more: they may send requests to a version that became bad long ago. */
const maxPlanAgeMilliseconds = 10 * refreshMilliseconds;
/** Maximum share of a class's requests that explore. */
const maxExplorationShare = 0.2;
/** Maximum of the saved surplus quality, so that a long good period cannot pay for a burst of bad answers. */
const maxCredit = 5;
/** Surplus quality that a new class starts with as an advance; it is earned back later. */
const initialCredit = 1;
/** Ratings in a class from which on its estimates rest on ratings rather than on the operator's expectations. */
const sufficientRatings = 100;

/** Standard deviations by which a version's expected quality may be below the target for use without ratings. */
const possibleDeviations = 0.67;

/** Options of `ModelChooser`. */
export interface ModelChooserOptions extends Partial<PlanSettings> {
    readonly evidence: Evidence;
    readonly random: RandomSource;
    readonly clock: Clock;
    /** Runs a step later, such as `setImmediate`. By default, plans are created while a request waits. */
    readonly schedule?: (step: () => void) => void;
}

interface ClassState {
    /** The candidates that the plans were created for. */
    candidates: readonly ModelVersion[];
    signature: string;
    targetQuality: number;
    confidence: number;
    createdAt: number;
    /** Whether new plans are being created. */
    isRefreshing: boolean;
    /** Plans that meet the target with the required confidence, without dominated ones. */
    sufficientSingles: readonly PlanOption[];
    sufficientPlans: readonly PlanOption[];
    /** Plans that meet the target more likely than not. Saved surplus quality must cover their possible shortfall. */
    probablePlans: readonly PlanOption[];
    probableSingles: readonly PlanOption[];
    /** Single versions that may meet the target, for use without ratings. */
    possibleSingles: readonly PlanOption[];
    /** The version with the highest expected quality, for use when no plan is known to meet the target. */
    highestQuality: PlanOption;
    /** Plans that are as good as that version or better. A cascade that ends with it often is, at a lower cost. */
    fallbacks: readonly PlanOption[];
    fallbackSingles: readonly PlanOption[];
    /** Whether the estimates rest on ratings rather than on the operator's expectations. */
    hasSufficientRatings: boolean;
    /** Plans that may turn out to meet the target at a lower cost. */
    readonly getExplorations: () => readonly Exploration[];
    /** Surplus quality saved up in this class, as number of answers times quality. */
    credit: number;
}

/** Chooses the version or cascade that answers a request. */
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
            return { steps: [], expectedCost: 0, expectedQuality: 0, isExploring: false, reason: "no candidate" };
        }
        const hasRatings = request.areRatingsAvailable ?? true;
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

    /**
     * Chooses the cheapest plan that meets the target with confidence. If there is none, chooses the cheapest plan that
     * is at least as good as the version with the highest expected quality.
     */
    #chooseSufficient(state: ClassState, request: ModelRequest, hasRatings: boolean): PlanOption {
        const sufficient = hasRatings
            ? getInTime(state.sufficientPlans, state.sufficientSingles, request)
            : state.sufficientSingles;
        const fallbacks = hasRatings
            ? getInTime(state.fallbacks, state.fallbackSingles, request)
            : state.fallbackSingles;
        return getCheapest(sufficient, request) ?? getCheapest(fallbacks, request) ?? state.highestQuality;
    }

    /** Chooses a plan that probably meets the target, if saved surplus quality covers its expected shortfall. */
    #chooseProbable(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        const option = request.areRatingsAvailable ?? true
            ? getCheapest([best, ...getInTime(state.probablePlans, state.probableSingles, request)], request)!
            : this.#choosePossibleSingle(state, best, request);
        const debit = getDebit(option, request);
        // The initial credit is reserved for explorations while they are possible. Spent here, it would send a new
        // class to a version that is supported by the operator's expectation only.
        if (option === best || debit > state.credit - getReservedCredit(state, request)) {
            return undefined;
        }
        state.credit = Math.min(maxCredit, state.credit - debit);
        return option;
    }

    /**
     * Chooses the cheapest version that likely meets the target, or one that may miss it if saved surplus quality
     * covers the shortfall. Without cascades, the next version that meets it with confidence often costs several times
     * as much.
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
        // No credit is earned while no version meets the target, so explorations need none then. Otherwise a version
        // with a few unluckily low ratings would never be explored again, and the class would stay below its target
        // permanently.
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
     * Returns the plans of a class. Plans that are due for a refresh are created after the request, in steps between
     * which the event loop can forward tokens. Only plans that no request has used for a long time are created at once.
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

    /** Reads the counts of one version. Once all are read, fits the shared effects and then creates the plans. */
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
            // A cascade costs more than its first step, so it cannot be cheaper than a single version that costs less.
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
            : getUndominated(getAtLeastAsGood([...singles, ...cascades], highestQuality, request));
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
            fallbackSingles: getUndominated(getAtLeastAsGood(singles, highestQuality, request)),
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

/** Checks whether plans were created for the candidates, prices and target of a request. */
function matchesRequest(state: ClassState, request: ModelRequest): boolean {
    if (state.targetQuality !== request.targetQuality || state.confidence !== request.confidence) {
        return false;
    }
    return state.candidates === request.candidates || state.signature === getSignature(request.candidates);
}

/** Defers a computation until its first use. Few decisions need explorations, which take as long to create as plans. */
function memoize<T>(create: () => T): () => T {
    let cached: { readonly value: T; } | undefined;
    return () => (cached ??= { value: create() }).value;
}

/** Returns the credit that is reserved for explorations. */
function getReservedCredit(state: ClassState, request: ModelRequest): number {
    return (request.areRatingsAvailable ?? true) || !state.hasSufficientRatings ? initialCredit : 0;
}

function countRatings(estimates: readonly QualityEstimate[]): number {
    let ratings = 0;
    for (const { scores } of estimates) {
        ratings += scores.ratings;
    }
    return ratings;
}
