/**
 * Waits for conditions with a timeout.
 */
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 20;
const defaultTimeoutMilliseconds = 20_000;

/** Options of a wait: its timeout and the parts of the error message. */
export interface WaitOptions {
    /** The expected condition, used in the error message. */
    readonly description: string;
    readonly timeoutMilliseconds?: number;
    /** Describes the actual state, used in the error message. */
    readonly describeState?: () => string;
}

/**
 * Polls a condition every 20 ms until it returns a value.
 * @param condition - Returns undefined or false until it holds; any other value is returned.
 * @param options - The description of the condition and the timeout.
 * @returns The condition's value.
 * @throws When the condition does not hold within the timeout.
 */
export async function waitUntil<Value>(
    condition: () => Value | Promise<Value>,
    options: WaitOptions,
): Promise<Exclude<Value, undefined | false>> {
    const { description, timeoutMilliseconds = defaultTimeoutMilliseconds } = options;
    const deadline = performance.now() + timeoutMilliseconds;
    while (performance.now() < deadline) {
        const value = await condition();
        if (value !== undefined && value !== false) {
            return value as Exclude<Value, undefined | false>;
        }
        await sleep(pollMilliseconds);
    }
    const foundState = options.describeState === undefined ? "" : ` Found: ${options.describeState()}.`;
    throw new Error(`Timed out after ${timeoutMilliseconds} ms waiting for ${description}.${foundState}`);
}
