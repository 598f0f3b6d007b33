/**
 * Decides the next action for a roll-out or a stable version from the merged evidence.
 *
 * Any node may act on `halt`. The other decisions are proposals: only the holder of the lease may append them, and the
 * fold rejects them with an outdated fencing token.
 */
import type { Clock } from "../../common/index.js";
import { getModel } from "../../configuration/allowance.js";
import { type Rollout, type RolloutFold, rolloutRecordKinds } from "../../control/index.js";
import { type Bucket, type Evidence, Tally } from "../model/index.js";
import { type ConfirmationInput, getConfirmationCapital } from "./confirmation.js";
import type { Exposures } from "./exposures.js";
import { planGrants } from "./grants.js";
import { createMetrics, type MetricName } from "./metric.js";
import { defaultRolloutPolicy, type RolloutPolicy } from "./rolloutPolicy.js";
import { SequentialTest, type Stratum, type TestResult } from "./sequentialTest.js";

/** The next action for a roll-out or version. */
export type RolloutEvaluation =
    | { readonly action: "wait"; readonly reason: string; readonly strength: number; }
    | { readonly action: "halt"; readonly version: string; readonly reason: string; readonly strength: number; }
    | { readonly action: "advance"; readonly stage: number; readonly reason: string; }
    | { readonly action: "finish"; readonly reason: string; }
    | { readonly action: "grant"; readonly grants: Readonly<Record<string, number>>; readonly reason: string; };

const referenceRefreshMilliseconds = 5000;
/** Number of change points that share the part of the capital that is not bet on the first epoch. */
const changePointCount = 200;
/** Part of the capital that is bet on the candidate having been bad from the start. */
const initialChangeWeight = 0.6;
/** Number of callers that may be pending evaluation for each evaluated one. */
const pendingPerEvaluated = 1;
/** Strength of the evidence against the candidate from which on callers are exposed only a handful at a time. */
const suspiciousStrength = 0.2;
/** Part of the baseline's share of rated answers that the candidate must reach for its exposure to increase. */
const minCoverage = 0.5;
const minMatureAnswers = 10;
/** Part of the capital that is bet on missing ratings. */
const confirmationWeight = 0.15;
/**
 * Capital of the bets on missing ratings from which on few callers are exposed at a time. Waiting costs little and ends
 * by itself when the capital falls, so it needs far less evidence than a halt.
 */
const unconfirmedCapital = 2;
/** Maximum number of unevaluated callers in the whole system in that case. */
const maxUnconfirmedCallers = 3;
/** Epochs between two possible change points of a stable version. */
const stableChangePointStep = 5;
/** A version is released when the evidence falls below this part of the evidence that is needed to hold it back. */
const releaseStrength = 0.25;

/** Options of `RolloutEvaluator`. */
export interface RolloutEvaluatorOptions {
    readonly fold: RolloutFold;
    readonly evidence: Evidence;
    readonly exposures: Exposures;
    readonly clock: Clock;
    /**
     * Returns the policy of a model. It is called in each evaluation, so that a change applies from the next one on,
     * also to roll-outs in progress. If omitted, the default policy applies to all models.
     */
    readonly getPolicy?: (model: string) => RolloutPolicy;
}

interface ProgressInput {
    readonly rollout: Rollout;
    readonly policy: RolloutPolicy;
    readonly entries: readonly string[];
    readonly self: string;
    readonly strata: readonly Stratum[];
    readonly strength: number;
    readonly confirmationCapital: number;
}

/** Evaluates roll-outs and stable versions. */
export class RolloutEvaluator {
    readonly #fold: RolloutFold;
    readonly #evidence: Evidence;
    readonly #exposures: Exposures;
    readonly #clock: Clock;
    readonly #getPolicy: (model: string) => RolloutPolicy;
    readonly #held = new Set<string>();
    readonly #references = new Map<string, { readonly computedAt: number; readonly tally: Tally; }>();

    constructor(options: RolloutEvaluatorOptions) {
        this.#fold = options.fold;
        this.#evidence = options.evidence;
        this.#exposures = options.exposures;
        this.#clock = options.clock;
        this.#getPolicy = options.getPolicy ?? (() => defaultRolloutPolicy);
    }

    /**
     * Evaluates a roll-out.
     * @param id - The roll-out.
     * @param entries - Names of the entries that accept callers now. Grants are distributed over them.
     * @param self - Name of this entry.
     */
    evaluate(id: string, entries: readonly string[], self: string): RolloutEvaluation {
        const rollout = this.#fold.getRollout(id);
        if (rollout?.state !== "active" || this.#fold.isHalted(rollout.candidate)) {
            return { action: "wait", reason: "The roll-out isn't active.", strength: 0 };
        }
        const strata = this.#getRolloutStrata(rollout);
        const policy = this.#getPolicy(rollout.model);
        const result = createRolloutTest(policy).evaluate(strata);
        const confirmationCapital = getConfirmationCapital(this.#getConfirmations(rollout, strata, policy));
        const missingRatingStrength = confirmationWeight * confirmationCapital * policy.falseHaltProbability;
        const strength = (1 - confirmationWeight) * result.strength + missingRatingStrength;
        if (strength >= 1) {
            const { candidate: version, baseline } = rollout;
            const reason = missingRatingStrength >= strength / 2
                ? `Fewer of its answers are rated good than of those of ${baseline} at the same time.`
                : describeFinding(result, baseline);
            return { action: "halt", version, reason, strength };
        }
        return this.#evaluateProgress({ rollout, policy, entries, self, strata, strength, confirmationCapital });
    }

    /**
     * Evaluates a version that is fully rolled out against its own past.
     * @param version - The version.
     */
    evaluateStable(version: string): RolloutEvaluation {
        const policy = this.#getPolicy(getModel(version));
        const isGuarded = this.#isGuarded(version, policy);
        const falseHaltMilliseconds = isGuarded ? policy.guardFalseHaltMilliseconds : policy.falseHaltMilliseconds;
        const test = createStableTest(policy, falseHaltMilliseconds, this.#evidence.epochMilliseconds);
        const result = test.evaluate(this.#getStableStrata(version, policy));
        this.#updateHeld(
            version,
            isGuarded ? result.strength * falseHaltMilliseconds / policy.falseHoldMilliseconds : 0,
        );
        if (result.isBad) {
            return {
                action: "halt",
                version,
                reason: describeFinding(result, "its own past"),
                strength: result.strength,
            };
        }
        const reason = this.isHeld(version) ? "It looks worse than its own past." : "The version is as it was.";
        return { action: "wait", reason, strength: result.strength };
    }

    /**
     * Checks whether a recently rolled-out version is held back: the evidence against it does not suffice for a halt
     * yet, but it does for sending most new callers to the previous version until there is more evidence.
     */
    isHeld(version: string): boolean {
        return this.#held.has(version);
    }

    /**
     * Returns the record that the holder of the lease should append for an evaluation, or `undefined`.
     * @param fencingToken - The fencing token of the lease.
     */
    getRecord(
        rollout: string,
        evaluation: RolloutEvaluation,
        fencingToken: number,
    ): { kind: string; body: unknown; } | undefined {
        switch (evaluation.action) {
            case "advance":
                return {
                    kind: rolloutRecordKinds.advance,
                    body: { rollout, stage: evaluation.stage, fence: fencingToken },
                };
            case "finish":
                return { kind: rolloutRecordKinds.finish, body: { rollout, fence: fencingToken } };
            case "grant":
                return {
                    kind: rolloutRecordKinds.grant,
                    body: { rollout, grants: evaluation.grants, fence: fencingToken },
                };
            default:
                return undefined;
        }
    }

    /** Checks whether the roll-out of a version ended so recently that the version is watched more closely. */
    #isGuarded(version: string, policy: RolloutPolicy): boolean {
        const finishedAt = this.#fold.getFinishedAt(version);
        return finishedAt !== undefined && this.#clock.wall() - finishedAt < policy.guardMilliseconds;
    }

    #updateHeld(version: string, strength: number): void {
        if (strength >= 1) {
            this.#held.add(version);
        }
        else if (strength < releaseStrength) {
            this.#held.delete(version);
        }
    }

    #evaluateProgress(input: ProgressInput): RolloutEvaluation {
        const { rollout, policy, entries, self, strata, strength, confirmationCapital } = input;
        const candidateCounts = this.#countCandidate(strata, policy);
        if (!candidateCounts.hasRatings) {
            return { action: "wait", reason: "Ratings of the candidate are missing.", strength };
        }
        const budget = rollout.budgets[rollout.stage];
        const exposed = this.#exposures.getTotal(rollout.id);
        const isBudgetSpent = budget !== undefined && exposed >= 0.9 * budget
            && candidateCounts.evaluated >= 0.8 * budget;
        const isStageLongEnough = this.#clock.wall() - rollout.stageSince >= policy.stageMilliseconds;
        const requiredRatings = policy.stageRatings * (rollout.stage + 1);
        const isUnconfirmed = confirmationCapital >= unconfirmedCapital;
        const isSuspicious = isUnconfirmed || strength >= suspiciousStrength;
        if (!isSuspicious && isStageLongEnough && (isBudgetSpent || candidateCounts.ratings >= requiredRatings)) {
            const reason = isBudgetSpent ? "The budget is spent without a finding." : "The ratings suffice.";
            if (rollout.stage === rollout.stages.length - 1) {
                return { action: "finish", reason };
            }
            return { action: "advance", stage: rollout.stage + 1, reason };
        }
        const grants = budget === undefined ? undefined : planGrants({
            grants: rollout.grants,
            entries,
            budget,
            evaluatedCallers: Math.min(candidateCounts.evaluated, exposed),
            firstCallers: isUnconfirmed ? maxUnconfirmedCallers : policy.firstCallers,
            pendingPerEvaluated: isSuspicious ? 0 : pendingPerEvaluated,
            getExposedCallers: entry =>
                entry === self ? this.#exposures.getOwn(rollout.id) : this.#exposures.getForNode(entry, rollout.id),
        });
        if (grants !== undefined) {
            return { action: "grant", grants, reason: "Earlier callers are evaluated." };
        }
        const reason = isSuspicious ? "The evidence against the candidate grows." : "More ratings are needed.";
        return { action: "wait", reason, strength };
    }

    /**
     * Counts the candidate's ratings, and its evaluated answers: those that are rated, or old enough for their ratings
     * to have arrived. Also checks whether the older answers have enough ratings for the exposure to increase.
     */
    #countCandidate(strata: readonly Stratum[], policy: RolloutPolicy) {
        const mature = new Tally();
        const total = new Tally();
        const reference = new Tally();
        const matureBefore = this.#evidence.getEpoch(this.#clock.wall() - policy.ratingTimeoutMilliseconds);
        for (const stratum of strata) {
            reference.add(stratum.reference);
            for (const bucket of stratum.buckets) {
                total.add(bucket.tally);
                if (bucket.start + 2 ** bucket.level <= matureBefore) {
                    mature.add(bucket.tally);
                }
            }
        }
        const coverage = reference.answers === 0 ? 0 : reference.ratings / reference.answers;
        const requiredRatings = minCoverage * coverage * mature.answers;
        return {
            ratings: total.ratings,
            evaluated: Math.max(total.ratings, mature.answers),
            hasRatings: mature.answers < minMatureAnswers || mature.ratings >= requiredRatings,
        };
    }

    #getRolloutStrata(rollout: Rollout): readonly Stratum[] {
        const liftedAt = this.#fold.getLiftedAt(rollout.candidate) ?? 0;
        const since = this.#evidence.getEpoch(Math.max(liftedAt, rollout.startedAt));
        const strata: Stratum[] = [];
        for (const requestClass of this.#evidence.getClasses(rollout.candidate)) {
            strata.push({
                requestClass,
                buckets: this.#evidence.getBuckets(rollout.candidate, requestClass).filter(({ start }) =>
                    start >= since
                ),
                reference: this.#getReference(rollout.baseline, requestClass),
            });
        }
        return strata;
    }

    /** Returns the answers of both versions since the start that are old enough for their ratings to have arrived. */
    #getConfirmations(
        rollout: Rollout,
        strata: readonly Stratum[],
        policy: RolloutPolicy,
    ): readonly ConfirmationInput[] {
        const since = this.#evidence.getEpoch(rollout.startedAt);
        const before = this.#evidence.getEpoch(this.#clock.wall() - policy.ratingTimeoutMilliseconds);
        const isMature = ({ start, level }: Bucket): boolean => start >= since && start + 2 ** level <= before;
        return strata.map(({ requestClass, buckets }) => ({
            candidate: buckets.filter(isMature),
            baseline: this.#evidence.getBuckets(rollout.baseline, requestClass).filter(isMature),
        }));
    }

    /** Returns the recent counts of a baseline. They are cached, since they change slowly and are needed often. */
    #getReference(version: string, requestClass: string): Tally {
        const key = `${version}/${requestClass}`;
        const now = this.#clock.monotonic();
        const known = this.#references.get(key);
        if (known !== undefined && now - known.computedAt < referenceRefreshMilliseconds) {
            return known.tally;
        }
        const tally = this.#evidence.getDecayedTally(version, requestClass);
        this.#references.set(key, { computedAt: now, tally });
        return tally;
    }

    #getStableStrata(version: string, policy: RolloutPolicy): readonly Stratum[] {
        const now = this.#evidence.getEpoch(this.#clock.wall());
        const liftedEpoch = this.#evidence.getEpoch(this.#fold.getLiftedAt(version) ?? 0);
        const window = policy.changeWindowMilliseconds / this.#evidence.epochMilliseconds;
        const windowStart = Math.max(now - window, liftedEpoch);
        const strata: Stratum[] = [];
        for (const requestClass of this.#evidence.getClasses(version)) {
            const buckets = this.#evidence.getBuckets(version, requestClass);
            const recent = buckets.filter(({ start }) => start >= windowStart);
            const reference = sumTallies(buckets.filter(({ start }) => start < windowStart && start >= liftedEpoch));
            strata.push({ requestClass, buckets: recent, reference });
        }
        return strata;
    }
}

function createRolloutTest(policy: RolloutPolicy): SequentialTest {
    return new SequentialTest({
        threshold: 1 / policy.falseHaltProbability,
        initialChangeWeight,
        laterChangeWeight: (1 - initialChangeWeight) / changePointCount,
        metrics: createMetrics(policy.qualityMargin),
    });
}

function createStableTest(
    policy: RolloutPolicy,
    falseHaltMilliseconds: number,
    epochMilliseconds: number,
): SequentialTest {
    return new SequentialTest({
        threshold: falseHaltMilliseconds / (stableChangePointStep * epochMilliseconds),
        initialChangeWeight: 1,
        laterChangeWeight: 1,
        changePointStep: stableChangePointStep,
        metrics: createMetrics(policy.qualityMargin),
    });
}

function sumTallies(buckets: readonly Bucket[]): Tally {
    const total = new Tally();
    for (const bucket of buckets) {
        total.add(bucket.tally);
    }
    return total;
}

function describeFinding(result: TestResult, reference: string): string {
    const scope = result.requestClass === undefined ? "over all classes" : `in class ${result.requestClass}`;
    return `It ${findings[result.metric]} than ${reference} ${scope}.`;
}

const findings: Readonly<Record<MetricName, string>> = {
    "bad ratings": "has more answers rated bad",
    "mean rating": "is rated lower",
    "errors": "fails more often",
    "latency": "is slow more often",
};
