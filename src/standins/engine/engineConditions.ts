/**
 * Conditions of the model engine stand-in.
 */
import { z } from "zod";
import { amount, commonConditions, flag, list, probability } from "../conditions.js";

const versionSchema = z.object({
    /** True quality; `quality.CLASS` overrides it for one class of request. */
    quality: probability.default(0.8),
    /** Tokens that one sequence produces a step. */
    speed: z.coerce.number().positive().default(1),
    errorRate: probability.default(0),
    /** Mean length of an answer, in tokens. */
    outputTokens: z.coerce.number().min(2).default(40),
}).catchall(probability);

/** What a version is like in truth. */
export type VersionBehaviour = z.infer<typeof versionSchema>;

/** Every condition of an engine. */
export const engineSchema = z.strictObject({
    ...commonConditions,
    name: z.string().default("engine"),
    /** Versions that are loaded at the start. */
    versions: list.default([]),
    /** What versions are like; a version that is not named here has the defaults. */
    version: z.record(z.string(), versionSchema).default({}),
    role: z.string().default("serve"),
    stepMilliseconds: z.coerce.number().positive().default(10),
    tokensPerStep: amount.default(512),
    maximumRunning: z.coerce.number().min(1).default(16),
    /** Requests that wait beyond this are refused with 429. */
    maximumWaiting: amount.default(64),
    memoryTokens: amount.default(200_000),
    cacheBlocks: amount.default(400),
    cacheEventLagMilliseconds: amount.default(200),
    cacheEventLossProbability: probability.default(0),
    loadLagMilliseconds: amount.default(200),
    /** How long a finished stream can be taken up again. */
    keepMilliseconds: amount.default(30_000),
    /** How long it takes to load a version that an order names. */
    loadMilliseconds: amount.default(100),
    qualitySpread: probability.default(0.1),
    checksFencing: flag.default(true),
    /** Answers orders as if all were well and does nothing. */
    ignoreOrders: flag.default(false),
    leaving: flag.default(false),
    /** How long the engine takes a reader for present whose connection is gone. */
    readerLagMilliseconds: amount.default(0),
    /** Produces nothing while it is on. */
    frozen: flag.default(false),
    /** Version that runs in truth for one that is asked for. */
    runsInstead: z.record(z.string(), z.string()).default({}),
    /** Reported in place of the true load. */
    lie: z.object({
        running: amount.optional(),
        waiting: amount.optional(),
        capacity: amount.optional(),
    }).default({}),
    /** `HOST:PORT` of the weight store that versions are loaded from; empty loads without asking. */
    weightStore: z.string().default(""),
});

/** Conditions in force of an engine. */
export type EngineConditions = z.infer<typeof engineSchema>;

const versionChangeSchema = z.strictObject({
    version: z.string(),
    quality: probability.optional(),
    class: z.string().optional(),
    errorRate: probability.optional(),
    speed: z.coerce.number().positive().optional(),
    outputTokens: z.coerce.number().min(2).optional(),
});

/** Returns what a version is like in truth. */
export function getVersionBehaviour(conditions: EngineConditions, version: string): VersionBehaviour {
    return conditions.version[version] ?? versionSchema.parse({});
}

/** Returns a version's true quality for a class of request. */
export function getTrueQuality(behaviour: VersionBehaviour, requestClass: string): number {
    return behaviour[`quality.${requestClass}`] ?? behaviour.quality;
}

/**
 * Turns `{"version": "plan@2", "quality": 0.2}` into a change of conditions; any other change stays as it is.
 * @param conditions - The conditions in force.
 * @param change - The body of `POST /faults`.
 */
export function expandVersionChange(conditions: EngineConditions, change: object): object {
    const parsed = versionChangeSchema.safeParse(change);
    if (!parsed.success) {
        return change;
    }
    const { version, quality, class: requestClass, ...others } = parsed.data;
    const behaviour: Record<string, unknown> = { ...getVersionBehaviour(conditions, version) };
    if (quality !== undefined) {
        behaviour[requestClass === undefined ? "quality" : `quality.${requestClass}`] = quality;
    }
    for (const [key, value] of Object.entries(others)) {
        behaviour[key] = value;
    }
    return { version: { ...conditions.version, [version]: behaviour } };
}
