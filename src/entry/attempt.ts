/**
 * An attempt to have one version answer a request, and its result.
 */
import type { Result } from "neverthrow";
import type { BillLine } from "../bills/index.js";
import type { Failure } from "../common/index.js";
import type { EngineEvent, TokenUsage } from "../upstream/index.js";
import type { ModelVersion } from "../world/index.js";
import type { ChatCall } from "./chatCall.js";

/** Represents a requested answer of one version. */
export interface AttemptOptions {
    readonly call: ChatCall;
    readonly version: ModelVersion;
    /** Index of the step in the plan. */
    readonly stepIndex: number;
    readonly earlierLines: readonly BillLine[];
    /** Monotonic time from which the time to first token is measured, in milliseconds. */
    readonly stepStartedAt: number;
    /** Whether events are sent to the caller as they arrive. */
    readonly direct: boolean;
    /** Called before the answer starts again on another runner. */
    readonly onRestart: () => void;
    readonly write: (event: EngineEvent) => Promise<void>;
    readonly writeEnd: (event: EngineEvent) => Promise<void>;
    readonly beforeEnd: (usage: TokenUsage) => Promise<Result<void, Failure>>;
}

/** Represents a completed answer. */
export interface AttemptResult {
    readonly usage: TokenUsage;
    /** Time from `stepStartedAt` to the engine's first token, in milliseconds. */
    readonly firstTokenMilliseconds: number;
    /** Time from the dispatch to the end of the answer, in milliseconds. */
    readonly milliseconds: number;
    /** Headers for the caller. */
    readonly headers: Readonly<Record<string, string>>;
}
