/**
 * Says what should happen next with a roll-out or a settled version, from the merged evidence.
 *
 * Any node may act on `halt`. The other verdicts are proposals: only the holder of the lease may append them, and the
 * fold refuses them under an old fence.
 */
import type { Clock } from "../../common/index.js";
import { type Rollout, type RolloutFold, rolloutRecordKinds } from "../../control/index.js";
import { type Bucket, type Evidence, Tally } from "../model/index.js";
import type { Exposures } from "./exposures.js";
import { planGrants } from "./grants.js";
import type { MetricName } from "./metric.js";
import { SequentialTest, type Stratum, type TestResult } from "./sequentialTest.js";

/** What should happen next. */
export type Verdict =
    | { readonly action: "wait"; readonly reason: string; readonly strength: number; }
    | { readonly action: "halt"; readonly version: string; readonly reason: string; readonly strength: number; }
    | { readonly action: "advance"; readonly stage: number; readonly reason: string; }
    | { readonly action: "finish"; readonly reason: string; }
    | { readonly action: "grant"; readonly grants: Readonly<Record<string, number>>; readonly reason: string; };

/** How roll-outs are judged. */
export interface RolloutPolicy {
    /**
     * Upper bound of the probability that a version is halted during its roll-out that is worse than the baseline by
     * just the margins of the metrics. One that is as good as the baseline is halted far less often, see the
     * measurements.
     */
    readonly falseHaltProbability: number;
    /** Expected time between false halts of a settled version, for one that is worse than its past by the margins. */
    readonly falseHaltMilliseconds: number;
    /** How long a rating may take before it is taken to be missing. */
    readonly ratingWaitMilliseconds: number;
    /** Callers exposed before the first rating is in, in the whole system. */
    readonly firstCallers: number;
    /** Ratings needed before a stage is left, unless its budget is spent. */
    readonly stageRatings: number;
    /** How long a stage lasts at least. */
    readonly stageMilliseconds: number;
    /** How far back a change of a settled version is looked for. */
    readonly changeWindowMilliseconds: number;
}

/** The policy unless the configuration says otherwise. */
export const defaultRolloutPolicy: RolloutPolicy = {
    falseHaltProbability: 0.1,
    falseHaltMilliseconds: 3 * 86_400_000,
    ratingWaitMilliseconds: 90_000,
    firstCallers: 8,
    stageRatings: 60,
    stageMilliseconds: 60_000,
    changeWindowMilliseconds: 600_000,
};

const referenceMilliseconds = 5000;
/** Starts of a change that share the part of the capital that isn't bet on the first one. */
const changeStarts = 200;
/** The part that is bet on the candidate having been bad from the start. */
const firstStartPart = 0.6;
/** For each judged caller, so many may be waiting for judgement. */
const unjudgedPerJudged = 1;
/** Strength of evidence against the candidate at which callers are let through only a handful at a time. */
const suspiciousStrength = 0.2;
/** Part of the baseline's share of rated answers that the candidate must reach for its exposure to grow. */
const neededCoverage = 0.5;
const matureAnswersNeeded = 10;
/** Epochs between two moments at which a settled version is supposed to have changed. */
const settledStartStep = 5;

/** Options of `RolloutJudge`. */
export interface RolloutJudgeOptions {
    readonly fold: RolloutFold;
    readonly evidence: Evidence;
    readonly exposures: Exposures;
    readonly clock: Clock;
    readonly policy?: Partial<RolloutPolicy>;
}

/** Judges roll-outs and settled versions. */
export class RolloutJudge {
    readonly #fold: RolloutFold;
    readonly #evidence: Evidence;
    readonly #exposures: Exposures;
    readonly #clock: Clock;
    readonly #policy: RolloutPolicy;
    readonly #rolloutTest: SequentialTest;
    readonly #settledTest: SequentialTest;
    readonly #references = new Map<string, { readonly formedAt: number; readonly tally: Tally; }>();

    constructor(options: RolloutJudgeOptions) {
        this.#fold = options.fold;
        this.#evidence = options.evidence;
        this.#exposures = options.exposures;
        this.#clock = options.clock;
        this.#policy = { ...defaultRolloutPolicy, ...options.policy };
        this.#rolloutTest = new SequentialTest({
            threshold: 1 / this.#policy.falseHaltProbability,
            firstStartPart,
            laterStartPart: (1 - firstStartPart) / changeStarts,
        });
        const epoch = this.#evidence.epochMilliseconds;
        this.#settledTest = new SequentialTest({
            threshold: this.#policy.falseHaltMilliseconds / (settledStartStep * epoch),
            firstStartPart: 1,
            laterStartPart: 1,
            startStep: settledStartStep,
        });
    }

    /**
     * Judges a roll-out.
     * @param id - The roll-out.
     * @param entries - Names of the entries that take callers now; grants are split over them.
     * @param self - Name of this entry.
     */
    judge(id: string, entries: readonly string[], self: string): Verdict {
        const rollout = this.#fold.getRollout(id);
        if (rollout?.state !== "active" || this.#fold.isHalted(rollout.candidate)) {
            return { action: "wait", reason: "The roll-out isn't active.", strength: 0 };
        }
        const strata = this.#getRolloutStrata(rollout);
        const result = this.#rolloutTest.evaluate(strata);
        if (result.bad) {
            const { candidate: version, baseline } = rollout;
            return { action: "halt", version, reason: describe(result, baseline), strength: result.strength };
        }
        return this.#judgeProgress(rollout, entries, self, strata, result.strength);
    }

    /**
     * Judges a version that is fully rolled out against its own past.
     * @param version - The version.
     */
    judgeSettled(version: string): Verdict {
        const strata = this.#getSettledStrata(version);
        const result = this.#settledTest.evaluate(strata);
        if (result.bad) {
            return { action: "halt", version, reason: describe(result, "its own past"), strength: result.strength };
        }
        return { action: "wait", reason: "The version is as it was.", strength: result.strength };
    }

    /**
     * Gets the record that the holder of the lease should append for a verdict, or `undefined`.
     * @param fence - The fence of the lease.
     */
    getRecord(rollout: string, verdict: Verdict, fence: number): { kind: string; body: unknown; } | undefined {
        switch (verdict.action) {
            case "advance":
                return { kind: rolloutRecordKinds.advance, body: { rollout, stage: verdict.stage, fence } };
            case "finish":
                return { kind: rolloutRecordKinds.finish, body: { rollout, fence } };
            case "grant":
                return { kind: rolloutRecordKinds.grant, body: { rollout, grants: verdict.grants, fence } };
            default:
                return undefined;
        }
    }

    #judgeProgress(
        rollout: Rollout,
        entries: readonly string[],
        self: string,
        strata: readonly Stratum[],
        strength: number,
    ): Verdict {
        const seen = this.#countCandidate(strata);
        if (!seen.ratingsArrive) {
            return { action: "wait", reason: "Ratings of the candidate are missing.", strength };
        }
        const budget = rollout.budgets[rollout.stage];
        const exposed = this.#exposures.getTotal(rollout.id);
        const spent = budget !== undefined && exposed >= 0.9 * budget && seen.settled >= 0.8 * budget;
        const longEnough = this.#clock.wall() - rollout.stageSince >= this.#policy.stageMilliseconds;
        const neededRatings = this.#policy.stageRatings * (rollout.stage + 1);
        const suspicious = strength >= suspiciousStrength;
        if (!suspicious && longEnough && (spent || seen.ratings >= neededRatings)) {
            const reason = spent ? "The budget is spent without a finding." : "The ratings suffice.";
            if (rollout.stage === rollout.stages.length - 1) {
                return { action: "finish", reason };
            }
            return { action: "advance", stage: rollout.stage + 1, reason };
        }
        const grants = budget === undefined ? undefined : planGrants({
            grants: rollout.grants,
            entries,
            budget,
            settled: Math.min(seen.settled, exposed),
            firstCallers: this.#policy.firstCallers,
            unjudgedPerJudged: suspicious ? 0 : unjudgedPerJudged,
            getSpent: entry =>
                entry === self ? this.#exposures.getOwn(rollout.id) : this.#exposures.getOf(entry, rollout.id),
        });
        if (grants !== undefined) {
            return { action: "grant", grants, reason: "Earlier callers are judged." };
        }
        const reason = suspicious ? "The evidence against the candidate grows." : "More ratings are needed.";
        return { action: "wait", reason, strength };
    }

    /** Counts the candidate's answers about which all is known that will be. */
    #countCandidate(strata: readonly Stratum[]) {
        const mature = new Tally();
        const total = new Tally();
        const reference = new Tally();
        const matureBefore = this.#evidence.getEpoch(this.#clock.wall() - this.#policy.ratingWaitMilliseconds);
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
        const neededRatings = neededCoverage * coverage * mature.answers;
        return {
            ratings: total.ratings,
            settled: Math.max(total.ratings, mature.answers),
            ratingsArrive: mature.answers < matureAnswersNeeded || mature.ratings >= neededRatings,
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

    /** Gets the recent counts of a baseline. They change slowly and are asked for often. */
    #getReference(version: string, requestClass: string): Tally {
        const key = `${version}/${requestClass}`;
        const now = this.#clock.monotonic();
        const known = this.#references.get(key);
        if (known !== undefined && now - known.formedAt < referenceMilliseconds) {
            return known.tally;
        }
        const tally = this.#evidence.getRecent(version, requestClass);
        this.#references.set(key, { formedAt: now, tally });
        return tally;
    }

    #getSettledStrata(version: string): readonly Stratum[] {
        const now = this.#evidence.getEpoch(this.#clock.wall());
        const liftedEpoch = this.#evidence.getEpoch(this.#fold.getLiftedAt(version) ?? 0);
        const window = this.#policy.changeWindowMilliseconds / this.#evidence.epochMilliseconds;
        const from = Math.max(now - window, liftedEpoch);
        const strata: Stratum[] = [];
        for (const requestClass of this.#evidence.getClasses(version)) {
            const buckets = this.#evidence.getBuckets(version, requestClass);
            const recent = buckets.filter(({ start }) => start >= from);
            const reference = addUp(buckets.filter(({ start }) => start < from && start >= liftedEpoch));
            strata.push({ requestClass, buckets: recent, reference });
        }
        return strata;
    }
}

function addUp(buckets: readonly Bucket[]): Tally {
    const total = new Tally();
    for (const bucket of buckets) {
        total.add(bucket.tally);
    }
    return total;
}

function describe(result: TestResult, reference: string): string {
    const where = result.requestClass === undefined ? "over all classes" : `in class ${result.requestClass}`;
    return `It ${findings[result.metric]} than ${reference} ${where}.`;
}

const findings: Readonly<Record<MetricName, string>> = {
    "bad ratings": "has more answers rated bad",
    "mean rating": "is rated lower",
    "errors": "fails more often",
    "latency": "is slow more often",
};
