/**
 * Cancels streams at engines that notice late that a reader disconnected.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EngineClient, TokenUsage } from "../upstream/index.js";
import type { Vm } from "../world/index.js";

/**
 * Pauses before each attempt to cancel a stream, in milliseconds. A busy engine takes a second or more to notice that a
 * reader has disconnected. If the attempts stopped earlier, the answer would be generated to its end without a reader.
 */
const cancellationDelaysMilliseconds = [0, 20, 80, 200, 500, 1000, 2000];

/**
 * Cancels a stream that has no reader. This entry has only just stopped reading, and the engine may notice this after
 * it receives the cancellation. A refusal because the stream is being read is therefore retried for a while.
 * @param engines - Client of the engines.
 * @param runner - The VM of the engine.
 * @param streamId - The stream.
 * @returns The tokens that were used; `undefined` if another entry reads the stream by now, or the stream has ended.
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
