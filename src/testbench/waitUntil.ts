/**
 * Waiting for conditions, with a bound.
 */
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 20;
const defaultTimeoutMilliseconds = 20_000;

/** How a wait ends without success. */
export interface WaitOptions {
    /** What is waited for, for the error's message. */
    readonly description: string;
    readonly timeoutMilliseconds?: number;
    /** Describes what was there in place of it, for the error's message. */
    readonly describeState?: () => string;
}

/**
 * Waits until a condition gives a value.
 * @param condition - Gives undefined or false until it holds; whatever else it gives is returned.
 * @param options - What is waited for, and how long.
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
    throw new Error(`Waited ${timeoutMilliseconds} ms in vain for ${description}.${foundState}`);
}
