/**
 * Chooses the cheapest plan whose expected quality meets the target with the stated confidence.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";
import type { Estimate } from "./estimate.js";
import type { Evidence } from "./evidence.js";
import type { Hardness } from "./hardness.js";
import type { ModelRequest } from "./modelRequest.js";
import { getPlanCost, getUndominated, type Plan, type PlanOption } from "./plan.js";
import {
    getCheapest,
    getExpectation,
    getInTime,
    getLikelyQuality,
    getLowerBound,
    getNoLessSure,
    getSignature,
    getSurest,
    getTryWeight,
    isCheaper,
    isCheaperPlan,
    isInTime,
    type Try,
} from "./planChoice.js";
import { getCascadeOptions, getSingleOption, type PlanSettings } from "./planOptions.js";
import { QualityModel } from "./qualityModel.js";

/** Evidence changes with every rating; plans needn't. */
const refreshMilliseconds = 3000;
/** Reading the counts of one version takes about a tenth of a millisecond. */
const readsPerDecision = 3;
/** At most this share of a class's requests explores. */
const maximumExploringShare = 0.2;
/** Surplus quality that can be saved up, so that a good day doesn't pay for a burst of bad answers. */
const maximumCredit = 5;
/** Surplus quality that is advanced to a class never seen before, to be earned back. */
const startingCredit = 1;
/** A version with fewer recent ratings is tried as the first step of a cascade. */
const wellKnownRatings = 40;
/** A version that meets the target with a lower probability isn't tried by itself. */
const minimumTryProbability = 0.01;
/** Probability that a little known version proves of use as the first step of a cascade. */
const cascadeProbability = 0.3;
/** Standard deviations by which a little known version is hoped to be better than expected. */
const luckyDeviations = 1.3;

/** Options of `ModelChooser`. */
export interface ModelChooserOptions extends Partial<PlanSettings> {
    readonly evidence: Evidence;
    readonly random: RandomSource;
    readonly clock: Clock;
}

interface ClassState {
    /** What the plans were formed for. */
    candidates: readonly ModelVersion[];
    signature: string;
    targetQuality: number;
    confidence: number;
    formedAt: number;
    /** Index of the candidate whose counts are read next. */
    nextRead: number;
    /** Plans that meet the target with confidence, dominated ones left out. */
    singles: readonly PlanOption[];
    all: readonly PlanOption[];
    /** Plans that meet it more likely than not; they are used as far as saved surplus quality covers the doubt. */
    probable: readonly PlanOption[];
    probableSingles: readonly PlanOption[];
    /** The surest version, for when nothing is known to meet the target. */
    surest: PlanOption;
    /** Plans that are no less sure than that version; a cascade that ends with it often is, for less. */
    fallbacks: readonly PlanOption[];
    /** Plans that may turn out to meet the target for less. */
    tries: readonly Try[];
    /** Surplus quality saved up in this class, in answers times quality. */
    credit: number;
}

/** Decides which version or cascade answers a request. */
export class ModelChooser {
    readonly #qualities: QualityModel;
    readonly #random: RandomSource;
    readonly #clock: Clock;
    readonly #settings: PlanSettings;
    readonly #states = new Map<string, ClassState>();

    constructor(options: ModelChooserOptions) {
        this.#qualities = new QualityModel(options.evidence, options.clock);
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
        const best = this.#chooseSure(state, request, ratings);
        const margin = getLowerBound(best, request.confidence) - request.targetQuality;
        const surplus = getLikelyQuality(best, request.confidence) - request.targetQuality;
        if (ratings) {
            const tried = this.#chooseTry(state, best, request);
            if (tried !== undefined) {
                return createPlan(tried, request, true, "explores with saved surplus quality");
            }
        }
        const doubtful = ratings ? getInTime(state.probable, state.probableSingles, request) : state.probableSingles;
        const probable = this.#chooseProbable(doubtful, best, state, request);
        if (probable !== undefined) {
            return createPlan(probable, request, false, "cheaper plan, its doubt covered by saved surplus quality");
        }
        state.credit = Math.min(maximumCredit, state.credit + Math.max(0, surplus));
        return createPlan(best, request, false, getReason(best, margin, ratings));
    }

    /** Chooses the cheapest plan that surely meets the target; where none does, the cheapest that is as sure as any. */
    #chooseSure(state: ClassState, request: ModelRequest, ratings: boolean): PlanOption {
        if (!ratings) {
            return getCheapest(state.singles, request) ?? state.surest;
        }
        return getCheapest(getInTime(state.all, state.singles, request), request)
            ?? getCheapest(getInTime(state.fallbacks, [state.surest], request), request)
            ?? state.surest;
    }

    /** Chooses a plan that probably meets the target, if surplus quality covers what it may fall short. */
    #chooseProbable(
        options: readonly PlanOption[],
        best: PlanOption,
        state: ClassState,
        request: ModelRequest,
    ): PlanOption | undefined {
        const option = getCheapest(options, request);
        if (option === undefined || option === best || !isCheaperPlan(option, best, request)) {
            return undefined;
        }
        const debit = request.targetQuality - getLikelyQuality(option, request.confidence);
        // The advance is for tries alone: spent here, it would give a class never seen before to a version that only
        // the operator's expectation speaks for.
        if (debit > state.credit - startingCredit) {
            return undefined;
        }
        state.credit -= debit;
        return option;
    }

    #chooseTry(state: ClassState, best: PlanOption, request: ModelRequest): PlanOption | undefined {
        if (state.tries.length === 0 || this.#random.next() >= maximumExploringShare) {
            return undefined;
        }
        // Nothing earns credit while no version meets the target. A version that had a few unlucky ratings would then
        // never be tried again, and the class would stay below its target for good.
        const needy = best.quality < request.targetQuality;
        const weights: number[] = [];
        let total = 0;
        for (const candidate of state.tries) {
            const affordable = needy || candidate.debit <= state.credit;
            const isEligible = affordable && isInTime(candidate.option, request);
            const weight = isEligible ? getTryWeight(candidate, best, request) : 0;
            weights.push(weight);
            total += weight;
        }
        let point = this.#random.next() * total;
        for (const [index, { option, debit }] of state.tries.entries()) {
            point -= weights[index];
            if (weights[index] > 0 && point < 0) {
                state.credit = needy ? state.credit : state.credit - debit;
                return option;
            }
        }
        return undefined;
    }

    /**
     * Gets the plans of a class. Counts that changed are read a few versions at a time, so that no decision holds up the
     * tokens that the same loop carries; the plans are formed anew once all were read.
     */
    #getState(request: ModelRequest): ClassState {
        const { requestClass, candidates } = request;
        const known = this.#states.get(requestClass);
        if (known === undefined || !isFor(known, request)) {
            for (const version of candidates) {
                this.#qualities.ensure(version, requestClass);
            }
            return this.#formState(request, known?.credit ?? startingCredit);
        }
        const isDue = this.#clock.monotonic() - known.formedAt >= refreshMilliseconds;
        if (!isDue || !this.#readChanged(known, requestClass)) {
            return known;
        }
        return this.#formState(request, known.credit);
    }

    /** @returns Whether the counts of all candidates were read since the plans were formed. */
    #readChanged(state: ClassState, requestClass: string): boolean {
        let reads = 0;
        while (state.nextRead < state.candidates.length && reads < readsPerDecision) {
            reads += this.#qualities.refresh(state.candidates[state.nextRead], requestClass) ? 1 : 0;
            state.nextRead += 1;
        }
        return state.nextRead >= state.candidates.length;
    }

    #formState(request: ModelRequest, credit: number): ClassState {
        const state = this.#formPlans(request, credit);
        this.#states.set(request.requestClass, state);
        return state;
    }

    #formPlans(request: ModelRequest, credit: number): ClassState {
        const { candidates, requestClass, targetQuality, confidence } = request;
        this.#qualities.fit(requestClass, candidates);
        const estimates = candidates.map(version => this.#qualities.getEstimate(version, requestClass));
        const singles = estimates.map(getSingleOption);
        const meets = (option: PlanOption) => getLowerBound(option, confidence) >= targetQuality;
        const isProbable = (option: PlanOption) => option.quality >= targetQuality;
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
            nextRead: 0,
            formedAt: this.#clock.monotonic(),
            singles: getUndominated(sufficient),
            all,
            probable: getUndominated([...singles, ...cascades].filter(isProbable)),
            probableSingles: getUndominated(singles.filter(isProbable)),
            surest,
            fallbacks,
            tries: this.#formTries(request, estimates, hardness, best),
            credit,
        };
    }

    #formTries(
        request: ModelRequest,
        estimates: readonly Estimate[],
        hardness: Hardness,
        best: PlanOption,
    ): readonly Try[] {
        const tries: Try[] = [];
        const last = best.steps[best.steps.length - 1].version;
        const second = estimates.find(({ version }) => version === last)!;
        for (const estimate of estimates) {
            const single = getSingleOption(estimate);
            const lower = getLowerBound(single, request.confidence);
            const { probability, shortfall } = getExpectation(single, request.targetQuality);
            if (probability >= minimumTryProbability && lower < request.targetQuality) {
                tries.push({ option: single, hoped: single, probability, debit: shortfall });
            }
            if (estimate.scores.ratings < wellKnownRatings && isCheaper(estimate.version, last)) {
                const cascade = this.#formCascadeTry(estimate, second, hardness, request, best);
                if (cascade !== undefined) {
                    tries.push(cascade);
                }
            }
        }
        return tries;
    }

    /** Forms a try of a little known version before the one that answers last now, if it may turn out to cost less. */
    #formCascadeTry(
        first: Estimate,
        second: Estimate,
        hardness: Hardness,
        request: ModelRequest,
        best: PlanOption,
    ): Try | undefined {
        const meets = ({ quality }: PlanOption) => quality >= request.targetQuality;
        const luckyMean = Math.min(1, first.mean + luckyDeviations * first.deviation);
        const lucky = { ...first, mean: luckyMean, deviation: first.deviation / 2 };
        const luckyOptions = getCascadeOptions(lucky, second, hardness, this.#settings);
        const hoped = getCheapest(luckyOptions.filter(meets), request);
        if (hoped === undefined || !isCheaperPlan(hoped, best, request)) {
            return undefined;
        }
        const options = getCascadeOptions(first, second, hardness, this.#settings);
        const option = getCheapest(options.filter(meets), request) ?? getSurest(options);
        const debit = Math.max(0, request.targetQuality - getLikelyQuality(option, request.confidence));
        return { option, hoped, probability: cascadeProbability, debit };
    }
}

/** Checks whether plans were formed for the candidates, prices and target of a request. */
function isFor(state: ClassState, request: ModelRequest): boolean {
    if (state.targetQuality !== request.targetQuality || state.confidence !== request.confidence) {
        return false;
    }
    return state.candidates === request.candidates || state.signature === getSignature(request.candidates);
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
        return `surest ${option.steps.length > 1 ? "cascade" : "version"}, since nothing is known to meet the target`;
    }
    const kind = option.steps.length > 1 ? "cheapest cascade" : "cheapest version";
    return ratings ? `${kind} that meets the target` : `${kind} that meets the target, without ratings`;
}
