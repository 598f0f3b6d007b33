/** The cases of the exposure measurement: how a version degrades and how its ratings arrive. */

import type { RolloutPolicy } from "../../decisions/exposure/index.js";

/** Probabilities that an answer is bad, failed or slow. */
export interface AnswerChances {
    readonly bad: number;
    readonly failed: number;
    readonly slow: number;
}

/** Probabilities of a good version. */
export const goodChances: AnswerChances = { bad: 0.03, failed: 0.005, slow: 0.05 };

/** The state of a roll-out when the candidate degrades. */
export type RolloutMoment = "first stage" | "mid roll-out" | "after full roll-out";

/** One case. */
export interface ExposureCase {
    readonly name: string;
    readonly moment: RolloutMoment;
    /** Probabilities of the candidate after it has degraded. */
    readonly chances: AnswerChances;
    /** The only class in which it degrades; `undefined` for all classes. */
    readonly onlyClass?: string;
    /** Time from the start of the run until it degrades, in milliseconds. */
    readonly degradesAt: number;
    readonly meanRatingDelayMilliseconds: number;
    /** Share of good answers that are rated; `ratedShareOfBad` is the share of bad ones. */
    readonly ratedShare: number;
    readonly ratedShareOfBad: number;
    /** Overrides of the default policy. */
    readonly policy?: Partial<RolloutPolicy>;
}

const badRatings: AnswerChances = { ...goodChances, bad: 0.3 };

/** Simulates that the guard period is over, the hour after the roll-out in which a version is checked more strictly. */
const withoutGuard: Partial<RolloutPolicy> = { guardMilliseconds: 0 };

/** All cases with a bad candidate. */
export const exposureCases: readonly ExposureCase[] = [
    createCase("first stage", { moment: "first stage" }),
    createCase("mid roll-out", { moment: "mid roll-out", degradesAt: 30_000 }),
    createCase("after full roll-out", { moment: "after full roll-out", degradesAt: 30_000 }),
    createCase("first stage, bad in one class only", {
        onlyClass: "allergens",
        chances: { ...goodChances, bad: 0.5 },
    }),
    createCase("first stage, errors only", { chances: { ...goodChances, failed: 0.3 } }),
    createCase("first stage, slow but right", { chances: { ...goodChances, slow: 0.5 } }),
    createCase("first stage, ratings a minute late", { meanRatingDelayMilliseconds: 60_000 }),
    createCase("first stage, bad answers rated less often", { ratedShareOfBad: 0.1 }),
    createCase("after full roll-out, ratings a minute late", {
        moment: "after full roll-out",
        degradesAt: 30_000,
        meanRatingDelayMilliseconds: 60_000,
    }),
    createCase("long after full roll-out", {
        moment: "after full roll-out",
        degradesAt: 30_000,
        policy: withoutGuard,
    }),
    createCase("long after full roll-out, ratings a minute late", {
        moment: "after full roll-out",
        degradesAt: 30_000,
        meanRatingDelayMilliseconds: 60_000,
        policy: withoutGuard,
    }),
];

/** The case of a candidate that is as good as the baseline. */
export const goodCase: ExposureCase = createCase("good", { chances: goodChances });

function createCase(name: string, options: Partial<ExposureCase>): ExposureCase {
    return {
        name,
        moment: "first stage",
        chances: badRatings,
        degradesAt: 0,
        meanRatingDelayMilliseconds: 5000,
        ratedShare: 0.5,
        ratedShareOfBad: 0.5,
        ...options,
    };
}
