/**
 * Chooses the cheapest plan whose expected quality meets the target with the stated confidence.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";
import type { Estimate } from "./estimate.js";
import type { Evidence } from "./evidence.js";
import type { Hardness } from "./hardness.js";
import type { ModelRequest } from "./modelRequest.js";
import { getUndominated, type Plan, type PlanOption } from "./plan.js";
import {
    createPlan,
    getCheapest,
    getDebit,
    getInTime,
    getLikelyQuality,
    getLowerBound,
    getNoLessSure,
    getReason,
    getSignature,
    getSurest,
    getThriftiest,
    isCheaper,
    isInTime,
} from "./planChoice.js";
import { getCascadeOptions, getSingleOption, type PlanSettings } from "./planOptions.js";
import { QualityModel } from "./qualityModel.js";
import { getCascadeTries, getSingleTries, getTryWeight, type Try } from "./tries.js";

/** Evidence changes with every rating; plans needn't. */
const refreshMilliseconds = 3000;
/** Plans of this age are not used again: they may send a request to a version that has long turned bad. */
const outdatedMilliseconds = 10 * refreshMilliseconds;
/** At most this share of a class's requests explores. */
const maximumExploringShare = 0.2;
/** Surplus quality that can be saved up, so that a good day doesn't pay for a burst of bad answers. */
const maximumCredit = 5;
/** Surplus quality that is advanced to a class never seen before, to be earned back. */
const startingCredit = 1;
/** Ratings in a class that make up for the operator's expectations. */
const experiencedRatings = 100;

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
    formedAt: number;
    /** Whether new plans are under way. */
    preparing: boolean;
    /** Plans that meet the target with confidence, dominated ones left out. */
    singles: readonly PlanOption[];
    all: readonly PlanOption[];
    /** Plans that meet it more likely than not; they are used as far as saved surplus quality covers the doubt. */
    probable: readonly PlanOption[];
    probableSingles: readonly PlanOption[];
    /** Single versions that may meet it, for when there are no ratings. */
    possibleSingles: readonly PlanOption[];
    /** The surest version, for when nothing is known to meet the target. */
    surest: PlanOption;
    /** Plans that are no less sure than that version; a cascade that ends with it often is, for less. */
    fallbacks: readonly PlanOption[];
    fallbackSingles: readonly PlanOption[];
    /** Whether ratings and not the operator's expectations speak for the plans. */
    isExperienced: boolean;
    /** Plans that may turn out to meet the target for less. */
    readonly getTries: () => readonly Try[];
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
        const ratings = request.ratingsAvailable ?? true;
        const state = this.#getState(request);
        const best = this.#chooseSure(state, request, ratings);
        const margin = getLowerBound(best, request.confidence) - request.targetQuality;
        const surplus = getLikelyQuality(best, request.confidence) - request.targetQuality;
        if (ratings) {
            const tried = this.#chooseTry(state, best, request);
            if (tried !== undefined) {
                return createPlan(tried, request, true, "explores with saved surplus quality");
            }
        }
        const probable = this.#chooseProbable(state, best, request);
        if (probable !== undefined) {
            return createPlan(probable, request, false, "cheaper plan, its doubt covered by saved surplus quality");
        }
        state.credit = Math.min(maximumCredit, state.credit + Math.max(0, surplus));
        return createPlan(best, request, false, getReason(best, margin, ratings));
    }

    /** Chooses the cheapest plan that surely meets the target; where none does, the cheapest that is as sure as any. */
    #chooseSure(state: ClassState, request: ModelRequest, ratings: boolean): PlanOption {
        const sure = ratings ? getInTime(state.all, state.singles, request) : state.singles;
        const fallbacks = ratings ? getInTime(state.fallbacks, state.fallbackSingles, request) : state.fallbackSingles;
        return getCheapest(sure, request) ?? getCheapest(fallbacks, request) ?? state.surest;
    }

    /** Chooses a plan that probably meets the target, if saved surplus quality covers what it may fall short. */
    #chooseProbable(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        const option = request.ratingsAvailable ?? true
            ? getCheapest([best, ...getInTime(state.probable, state.probableSingles, request)], request)!
            : this.#choosePossibleSingle(state, best, request);
        const debit = getDebit(option, request);
        // The advance is for tries while there are any: spent here, it would give a class never seen before to a version
        // that only the operator's expectation speaks for.
        if (option === best || debit > state.credit - getReserve(state, request)) {
            return undefined;
        }
        state.credit = Math.min(maximumCredit, state.credit - debit);
        return option;
    }

    /**
     * Chooses the cheapest version that likely meets the target, or one that may fall short of it if saved surplus covers
     * that. Without cascades the next sure version often costs several times as much.
     */
    #choosePossibleSingle(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption {
        const likely = state.possibleSingles.filter(option => getDebit(option, request) <= 0);
        const usual = getCheapest([best, ...likely], request)!;
        const credit = state.credit - getReserve(state, request);
        return getThriftiest(state.possibleSingles, usual, request, credit) ?? usual;
    }

    #chooseTry(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        if (this.#random.next() >= maximumExploringShare) {
            return undefined;
        }
        const tries = state.getTries();
        // Nothing earns credit while no version meets the target. A version that had a few unlucky ratings would then
        // never be tried again, and the class would stay below its target for good.
        const needy = best.quality < request.targetQuality;
        const fallback = getCheapest(state.singles, request) ?? state.surest;
        const weights: number[] = [];
        let total = 0;
        for (const candidate of tries) {
            const affordable = needy || candidate.debit <= state.credit;
            const isEligible = affordable && isInTime(candidate.option, request);
            const weight = isEligible ? getTryWeight(candidate, best, fallback, request) : 0;
            weights.push(weight);
            total += weight;
        }
        let point = this.#random.next() * total;
        for (const [index, { option, debit }] of tries.entries()) {
            point -= weights[index];
            if (weights[index] > 0 && point < 0) {
                state.credit = needy ? state.credit : state.credit - debit;
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
        if (known === undefined || !isFor(known, request)) {
            for (const version of candidates) {
                this.#qualities.ensure(version, requestClass);
            }
            this.#qualities.fit(requestClass, candidates);
            return this.#formState(request, known?.credit ?? startingCredit);
        }
        const age = this.#clock.monotonic() - known.formedAt;
        if (age < refreshMilliseconds) {
            return known;
        }
        if (this.#schedule === undefined || age >= outdatedMilliseconds) {
            for (const version of candidates) {
                this.#qualities.refresh(version, requestClass);
            }
            this.#qualities.fit(requestClass, candidates);
            return this.#formState(request, known.credit);
        }
        if (!known.preparing) {
            known.preparing = true;
            this.#schedule(() => this.#prepare(known, request, 0));
        }
        return known;
    }

    /** Reads the counts of one version, or fits what they share and then forms the plans once all were read. */
    #prepare(state: ClassState, request: ModelRequest, next: number): void {
        const { requestClass, candidates } = request;
        if (this.#states.get(requestClass) !== state) {
            return;
        }
        for (let index = next; index < candidates.length; index += 1) {
            if (this.#qualities.refresh(candidates[index], requestClass)) {
                this.#schedule?.(() => this.#prepare(state, request, index + 1));
                return;
            }
        }
        this.#qualities.fit(requestClass, candidates);
        this.#schedule?.(() => {
            if (this.#states.get(requestClass) === state) {
                this.#formState(request, state.credit);
            }
        });
    }

    #formState(request: ModelRequest, credit: number): ClassState {
        const state = this.#formPlans(request, credit);
        this.#states.set(request.requestClass, state);
        return state;
    }

    #formPlans(request: ModelRequest, credit: number): ClassState {
        const { candidates, requestClass, targetQuality, confidence } = request;
        const estimates = candidates.map(version => this.#qualities.getEstimate(version, requestClass));
        const singles = estimates.map(getSingleOption);
        const meets = (option: PlanOption) => getLowerBound(option, confidence) >= targetQuality;
        const isProbable = (option: PlanOption) => option.quality >= targetQuality;
        const isPossible = (option: PlanOption) =>
            option.quality + possibleDeviations * option.deviation >= targetQuality;
        const sufficient = singles.filter(meets);
        const cascades: PlanOption[] = [];
        const hardness = this.#qualities.getHardness(requestClass);
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
        const all = getUndominated([...sufficient, ...cascades.filter(meets)]);
        const surest = getSurest(singles);
        const fallbacks = all.length > 0
            ? []
            : getUndominated(getNoLessSure([...singles, ...cascades], surest, request));
        const best = getCheapest(all, request) ?? getCheapest(fallbacks, request) ?? surest;
        return {
            candidates,
            signature: getSignature(candidates),
            targetQuality,
            confidence,
            preparing: false,
            formedAt: this.#clock.monotonic(),
            singles: getUndominated(sufficient),
            all,
            probable: getUndominated([...singles, ...cascades].filter(isProbable)),
            probableSingles: getUndominated(singles.filter(isProbable)),
            possibleSingles: singles.filter(isPossible),
            surest,
            fallbacks,
            fallbackSingles: getUndominated(getNoLessSure(singles, surest, request)),
            isExperienced: getRatings(estimates) >= experiencedRatings,
            getTries: runOnce(() => this.#formTries(request, estimates, hardness, best)),
            credit,
        };
    }

    #formTries(
        request: ModelRequest,
        estimates: readonly Estimate[],
        hardness: Hardness,
        best: PlanOption,
    ): readonly Try[] {
        const singles = getSingleTries(estimates, request);
        const cascades = getCascadeTries({ estimates, hardness, request, best, settings: this.#settings });
        return [...singles, ...cascades];
    }
}

/** Checks whether plans were formed for the candidates, prices and target of a request. */
function isFor(state: ClassState, request: ModelRequest): boolean {
    if (state.targetQuality !== request.targetQuality || state.confidence !== request.confidence) {
        return false;
    }
    return state.candidates === request.candidates || state.signature === getSignature(request.candidates);
}

/** Few decisions need the tries, which take as long to form as the plans. */
function runOnce<T>(form: () => T): () => T {
    let formed: { readonly value: T; } | undefined;
    return () => (formed ??= { value: form() }).value;
}

/** Gets the credit that is kept for tries. */
function getReserve(state: ClassState, request: ModelRequest): number {
    return (request.ratingsAvailable ?? true) || !state.isExperienced ? startingCredit : 0;
}

function getRatings(estimates: readonly Estimate[]): number {
    let ratings = 0;
    for (const { scores } of estimates) {
        ratings += scores.ratings;
    }
    return ratings;
}
