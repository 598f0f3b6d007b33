/**
 * Cancels streams at engines that learn late of their readers' end.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EngineClient, TokenUsage } from "../upstream/index.js";
import type { Vm } from "../world/index.js";

/**
 * Pauses before each try to cancel a stream, in milliseconds. A busy engine takes a second or more to learn that a
 * reader has gone; given up earlier, the answer would go on to its end with nobody to read it.
 */
const cancellationDelaysMilliseconds = [0, 20, 80, 200, 500, 1000, 2000];

/**
 * Cancels a stream that nobody reads. This entry's own reading ended a moment ago, and the engine may learn of it later
 * than of the cancellation, so a refusal because the stream is read is tried again for a while.
 * @param engines - Reaches the engine.
 * @param runner - The VM of the engine.
 * @param streamId - The stream.
 * @returns The tokens that were spent; `undefined` when another entry reads the stream by now, or it is over.
 */
export async function cancelIdleStream(
    engines: EngineClient,
    runner: Vm,
    streamId: string,
): Promise<TokenUsage | undefined> {
    for (const pauseMilliseconds of cancellationDelaysMilliseconds) {
        await sleep(pauseMilliseconds);
        const cancelled = await engines.cancel(runner, streamId, true);
        if (cancelled.isErr() || cancelled.value.kind !== "read") {
            return cancelled.unwrapOr(undefined)?.usage;
        }
    }
    return undefined;
}
