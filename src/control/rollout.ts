/**
 * Roll-outs, halts and the records of the `control` stream that make them.
 */
import { z } from "zod";

/** Kinds of the records about roll-outs on the `control` stream. */
export const rolloutRecordKinds = {
    start: "rollout-start",
    grant: "rollout-grant",
    advance: "rollout-advance",
    finish: "rollout-finish",
    abort: "rollout-abort",
    halt: "halt",
    lift: "lift",
} as const;

const shareSchema = z.number().gt(0).lte(1);
const countSchema = z.number().int().nonnegative();

/** Checks the body of `rollout-start`. */
export const rolloutStartBody = z.object({
    rollout: z.string().min(1),
    model: z.string().min(1),
    candidate: z.string().min(1),
    baseline: z.string().min(1),
    /** Share of callers at each stage, ascending; the last one is 1. */
    stages: z.array(shareSchema).min(1).refine(stages =>
        stages.every((value, index) => index === 0 || value > stages[index - 1])
    ),
    /** Callers exposed in the whole system up to the end of each stage. A stage without a number has no such bound. */
    budget: z.union([countSchema, z.array(countSchema)]),
    startedBy: z.string(),
});

/** Checks the body of `rollout-grant`. */
export const rolloutGrantBody = z.object({
    rollout: z.string(),
    fence: z.number().int(),
    /** For each entry, how many callers it may have exposed altogether. */
    grants: z.record(z.string(), countSchema),
});

/** Checks the body of `rollout-advance`. */
export const rolloutAdvanceBody = z.object({ rollout: z.string(), stage: countSchema, fence: z.number().int() });

/** Checks the body of `rollout-finish`. */
export const rolloutFinishBody = z.object({ rollout: z.string(), fence: z.number().int() });

/** Checks the body of `rollout-abort`, by which an operator ends a roll-out without halting the version. */
export const rolloutAbortBody = z.object({ rollout: z.string(), by: z.string() });

/** Checks the body of `halt`. */
export const haltBody = z.object({
    /** The halt's own identifier; that of the record by default. */
    id: z.string().optional(),
    version: z.string().min(1),
    reason: z.string(),
    evidence: z.unknown().optional(),
});

/** Checks the body of `lift`. */
export const liftBody = z.object({
    version: z.string().min(1),
    /**
     * The halts that the operator has seen and lifts. A halt that isn't named stays, since it may have been raised
     * for a reason that the operator hasn't seen.
     */
    halts: z.array(z.string()),
    by: z.string(),
});

/** Whether a roll-out is under way. */
export type RolloutState = "active" | "finished" | "halted" | "aborted";

/** A staged exposure of callers to a new version. */
export interface Rollout {
    readonly id: string;
    readonly model: string;
    readonly candidate: string;
    readonly baseline: string;
    readonly stages: readonly number[];
    /** Callers exposed in the whole system up to the end of each stage; `undefined` where there is no bound. */
    readonly budgets: readonly (number | undefined)[];
    readonly startedBy: string;
    /** Wall-clock milliseconds of the log at the start. */
    readonly startedAt: number;
    /** Index into `stages`. */
    readonly stage: number;
    /** Wall-clock milliseconds of the log when the stage began. */
    readonly stageSince: number;
    readonly state: RolloutState;
    /** Wall-clock milliseconds of the log when it finished; absent before, and in snapshots of older releases. */
    readonly finishedAt?: number;
    /** For each entry, how many callers it may have exposed altogether. */
    readonly grants: Readonly<Record<string, number>>;
}

/** A decision that a version gets no new work. */
export interface Halt {
    /** Unique; the same halt comes by gossip and by the log. */
    readonly id: string;
    readonly version: string;
    readonly reason: string;
    /** Wall-clock milliseconds of the node that raised it. */
    readonly at: number;
}

/** What the fold has taken in, as a snapshot keeps it; plain JSON. */
export interface RolloutSnapshot {
    readonly offset: number;
    readonly rollouts: readonly Rollout[];
    readonly halts: readonly Halt[];
    readonly lifted: readonly string[];
    readonly liftedAt: Readonly<Record<string, number>>;
    readonly settled: Readonly<Record<string, readonly string[]>>;
}

/** Whether a record took effect, and if not, why. */
export interface RolloutDecision {
    readonly accepted: boolean;
    readonly reason: string;
}
