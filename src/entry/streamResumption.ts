/**
 * Resumes a stream at the engine that holds it.
 */
import type { Result } from "neverthrow";
import { errors } from "undici";
import type { EngineAnswer, EngineClient, UpstreamFailure } from "../upstream/index.js";
import type { Vm } from "../world/index.js";

/** Maximum number of requests for one resumption to an engine that does not answer. */
const maxTries = 3;

/** Options of a resumption. */
export interface StreamResumptionOptions {
    readonly engines: Pick<EngineClient, "resume">;
    readonly runner: Vm;
    readonly streamId: string;
    /** Number of the last event that the caller has received. */
    readonly lastId: number;
    /** Ends the resumption. */
    readonly signal: AbortSignal;
}

/**
 * Resumes a stream. An engine that does not answer is asked again: it may be silent for a while and hold the stream all the same.
 * @param options - The stream.
 */
export async function resumeStream(options: StreamResumptionOptions): Promise<Result<EngineAnswer, UpstreamFailure>> {
    const { engines, runner, streamId, lastId, signal } = options;
    for (let count = 1;; count += 1) {
        const resumed = await engines.resume(runner, streamId, lastId, signal);
        if (resumed.isOk() || !isUnanswered(resumed.error) || count >= maxTries || signal.aborted) {
            return resumed;
        }
    }
}

/**
 * Returns whether a resumption failed without a word of the engine, which may hold the stream.
 * @param failure - The failure.
 */
export function isUnanswered({ failure, outcome }: UpstreamFailure): boolean {
    return outcome === "unknown" || failure.cause instanceof errors.ConnectTimeoutError;
}
