/**
 * Conditions of the model engine stand-in.
 */
import { z } from "zod";
import { commonConditions, flag, nonNegativeNumber, probability, stringList } from "../conditions.js";

const versionSchema = z.object({
    /** True quality. `quality.CLASS` overrides it for one request class. */
    quality: probability.default(0.8),
    /** Tokens that one sequence produces per step. */
    speed: z.coerce.number().positive().default(1),
    errorRate: probability.default(0),
    /** Mean length of an answer, in tokens. */
    outputTokens: z.coerce.number().min(2).default(40),
}).catchall(probability);

/** True behaviour of a version. */
export type VersionBehaviour = z.infer<typeof versionSchema>;

/** All conditions of an engine. */
export const engineSchema = z.strictObject({
    ...commonConditions,
    name: z.string().default("engine"),
    /** Versions that are loaded initially. */
    versions: stringList.default([]),
    /** Behaviour by version. A version that is not listed here has the defaults. */
    version: z.record(z.string(), versionSchema).default({}),
    role: z.string().default("serve"),
    stepMilliseconds: z.coerce.number().positive().default(10),
    tokensPerStep: nonNegativeNumber.default(512),
    /** Requests a second that the engine states to take from all entries together; 0 states no limit. */
    statedPerSecond: nonNegativeNumber.default(0),
    maximumRunning: z.coerce.number().min(1).default(16),
    /** Requests are rejected with 429 while this many requests wait. */
    maximumWaiting: nonNegativeNumber.default(64),
    memoryTokens: nonNegativeNumber.default(200_000),
    cacheBlocks: nonNegativeNumber.default(400),
    cacheEventLagMilliseconds: nonNegativeNumber.default(200),
    cacheEventLossProbability: probability.default(0),
    loadLagMilliseconds: nonNegativeNumber.default(200),
    /** How long a finished stream can be resumed. */
    keepMilliseconds: nonNegativeNumber.default(30_000),
    /** Time to load a version that an order requires. */
    loadMilliseconds: nonNegativeNumber.default(100),
    qualitySpread: probability.default(0.1),
    checksFencing: flag.default(true),
    /** Answers orders as if they were followed, and ignores them. */
    ignoreOrders: flag.default(false),
    leaving: flag.default(false),
    /** How long the engine still counts a reader after its connection has closed. */
    readerLagMilliseconds: nonNegativeNumber.default(0),
    /** The engine's process ends as soon as it has begun to answer a prompt that contains this text. */
    crashesOn: z.string().default(""),
    /** Pauses the batch: no request is admitted and no token is produced. */
    frozen: flag.default(false),
    /** Version that actually runs, by requested version. */
    runsInstead: z.record(z.string(), z.string()).default({}),
    /** Values reported instead of the true load. */
    lie: z.object({
        running: nonNegativeNumber.optional(),
        waiting: nonNegativeNumber.optional(),
        capacity: nonNegativeNumber.optional(),
    }).default({}),
    /** `HOST:PORT` of the weight store that versions are loaded from. When it is empty, they load without a request. */
    weightStore: z.string().default(""),
});

/** Conditions in force on an engine. */
export type EngineConditions = z.infer<typeof engineSchema>;

const versionChangeSchema = z.strictObject({
    version: z.string(),
    quality: probability.optional(),
    class: z.string().optional(),
    errorRate: probability.optional(),
    speed: z.coerce.number().positive().optional(),
    outputTokens: z.coerce.number().min(2).optional(),
});

/** Returns the true behaviour of a version. */
export function getVersionBehaviour(conditions: EngineConditions, version: string): VersionBehaviour {
    return conditions.version[version] ?? versionSchema.parse({});
}

/** Returns a version's true quality for a request class. */
export function getTrueQuality(behaviour: VersionBehaviour, requestClass: string): number {
    return behaviour[`quality.${requestClass}`] ?? behaviour.quality;
}

/**
 * Expands `{"version": "plan@2", "quality": 0.2}` to a change of conditions. Any other change is returned unchanged.
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
