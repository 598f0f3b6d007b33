/**
 * Roll-outs and halts, and the records of the `control` stream that define them.
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

/** Validates the body of `rollout-start`. */
export const rolloutStartBody = z.object({
    rollout: z.string().min(1),
    model: z.string().min(1),
    candidate: z.string().min(1),
    baseline: z.string().min(1),
    /** Share of callers at each stage, ascending. The last one is 1. */
    stages: z.array(shareSchema).min(1).refine(stages =>
        stages.every((value, index) => index === 0 || value > stages[index - 1])
    ),
    /**
     * Maximum number of callers exposed in the whole system up to the end of each stage. A stage without a number has
     * no limit.
     */
    budget: z.union([countSchema, z.array(countSchema)]),
    startedBy: z.string(),
});

/** Validates the body of `rollout-grant`. */
export const rolloutGrantBody = z.object({
    rollout: z.string(),
    fence: z.number().int(),
    /** Total number of callers that each entry may have exposed. */
    grants: z.record(z.string(), countSchema),
});

/** Validates the body of `rollout-advance`. */
export const rolloutAdvanceBody = z.object({ rollout: z.string(), stage: countSchema, fence: z.number().int() });

/** Validates the body of `rollout-finish`. */
export const rolloutFinishBody = z.object({ rollout: z.string(), fence: z.number().int() });

/** Validates the body of `rollout-abort`. With it an operator ends a roll-out without halting the version. */
export const rolloutAbortBody = z.object({ rollout: z.string(), by: z.string() });

/** Validates the body of `halt`. */
export const haltBody = z.object({
    /** Identifier of the halt. By default that of the record. */
    id: z.string().optional(),
    version: z.string().min(1),
    reason: z.string(),
    evidence: z.unknown().optional(),
});

/** Validates the body of `lift`. */
export const liftBody = z.object({
    version: z.string().min(1),
    /**
     * The halts that the operator has seen and lifts. A halt that is not listed stays in force, since it may have a
     * reason that the operator has not seen.
     */
    halts: z.array(z.string()),
    by: z.string(),
});

/** The state of a roll-out. Only an active one is in progress. */
export type RolloutState = "active" | "finished" | "halted" | "aborted";

/** A staged exposure of callers to a new version. */
export interface Rollout {
    readonly id: string;
    readonly model: string;
    readonly candidate: string;
    readonly baseline: string;
    readonly stages: readonly number[];
    /**
     * Maximum number of callers exposed in the whole system up to the end of each stage, `undefined` without a limit.
     */
    readonly budgets: readonly (number | undefined)[];
    readonly startedBy: string;
    /** Wall-clock milliseconds of the log at the start. */
    readonly startedAt: number;
    /** Index into `stages`. */
    readonly stage: number;
    /** Wall-clock milliseconds of the log at the start of the stage. */
    readonly stageSince: number;
    readonly state: RolloutState;
    /** Wall-clock milliseconds of the log at the end; absent before the end, and in snapshots of older releases. */
    readonly finishedAt?: number;
    /** Total number of callers that each entry may have exposed. */
    readonly grants: Readonly<Record<string, number>>;
}

/** A decision that a version gets no new requests. */
export interface Halt {
    /** Unique identifier. The same halt arrives by gossip and through the log. */
    readonly id: string;
    readonly version: string;
    readonly reason: string;
    /** Wall-clock milliseconds of the node that raised it. */
    readonly at: number;
}

/** The state of the fold in a snapshot, as plain JSON. */
export interface RolloutSnapshot {
    readonly offset: number;
    readonly rollouts: readonly Rollout[];
    readonly halts: readonly Halt[];
    readonly lifted: readonly string[];
    readonly liftedAt: Readonly<Record<string, number>>;
    readonly settled: Readonly<Record<string, readonly string[]>>;
}

/** Whether a record was accepted, and if not, why. */
export interface RolloutDecision {
    readonly accepted: boolean;
    readonly reason: string;
}
