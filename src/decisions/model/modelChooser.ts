/**
 * Chooses the cheapest plan whose expected quality meets the target with the stated confidence.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";
import { type Estimate, getEstimate } from "./estimate.js";
import type { Evidence } from "./evidence.js";
import type { ModelRequest } from "./modelRequest.js";
import { getPlanCost, getUndominated, type Plan, type PlanOption } from "./plan.js";
import {
    getCheapest,
    getExpectation,
    getInTime,
    getLikelyQuality,
    getLowerBound,
    getSignature,
    getSurest,
    getTryWeight,
    isCheaper,
    isCheaperPlan,
    isInTime,
    type Try,
} from "./planChoice.js";
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
/** Probability that a little known version proves of use as the first step of a cascade. */
const cascadeProbability = 0.3;
/** Quality that a try as the first step of a cascade is taken to cost. */
const cascadeTryDebit = 0.01;

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
    revision: number;
    formedAt: number;
    /** Plans that meet the target with confidence, dominated ones left out. */
    singles: readonly PlanOption[];
    all: readonly PlanOption[];
    /** Plans that meet it more likely than not; they are used as far as saved surplus quality covers the doubt. */
    probable: readonly PlanOption[];
    probableSingles: readonly PlanOption[];
    /** The surest plan, for when none meets the target. */
    surest: PlanOption;
    /** Plans that may turn out to meet the target for less. */
    tries: readonly Try[];
    /** Surplus quality saved up in this class, in answers times quality. */
    credit: number;
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
        const sure = ratings ? getInTime(state.all, state.singles, request) : state.singles;
        const best = getCheapest(sure, request) ?? state.surest;
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
        const isProbable = (option: PlanOption) => option.quality >= targetQuality;
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
        const surest = getSurest(singles);
        return {
            candidates,
            signature: getSignature(candidates),
            targetQuality,
            confidence,
            revision: this.#evidence.revision,
            formedAt: this.#clock.monotonic(),
            singles: getUndominated(sufficient),
            all: getUndominated([...sufficient, ...cascades.filter(meets)]),
            probable: getUndominated([...singles, ...cascades].filter(isProbable)),
            probableSingles: getUndominated(singles.filter(isProbable)),
            surest,
            tries: this.#formTries(request, estimates, getCheapest(sufficient, request) ?? surest),
            credit,
        };
    }

    #formTries(request: ModelRequest, estimates: readonly Estimate[], last: PlanOption): readonly Try[] {
        const tries: Try[] = [];
        for (const estimate of estimates) {
            const single = getSingleOption(estimate);
            const lower = getLowerBound(single, request.confidence);
            const upper = 2 * single.quality - lower;
            const expectation = getExpectation(single, request.targetQuality);
            if (upper >= request.targetQuality && lower < request.targetQuality) {
                const { probability, shortfall } = expectation;
                tries.push({ option: single, price: estimate.version, probability, debit: shortfall });
            }
            if (estimate.tally.ratings < wellKnownRatings && isCheaper(estimate.version, last.steps[0].version)) {
                const option = this.#formCascadeTry(estimate, last, request);
                tries.push({
                    option,
                    price: estimate.version,
                    probability: cascadeProbability,
                    debit: cascadeTryDebit,
                });
            }
        }
        return tries;
    }

    /** Forms a cascade whose first step is little known; only an answer rated at the target is taken from it. */
    #formCascadeTry(estimate: Estimate, single: PlanOption, request: ModelRequest): PlanOption {
        const last = single.steps[0].version;
        return {
            steps: [
                { version: estimate.version, acceptScore: request.targetQuality },
                { version: last, acceptScore: undefined },
            ],
            inputPrice: estimate.version.inputPrice + last.inputPrice,
            outputPrice: estimate.version.outputPrice + last.outputPrice,
            fixedPrice: this.#settings.ratingPrice,
            quality: request.targetQuality,
            deviation: single.deviation,
        };
    }
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
