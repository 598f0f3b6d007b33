/**
 * Waiting for conditions, with a bound.
 */
import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 20;
const defaultBoundMilliseconds = 20_000;

/** How a wait ends without success. */
export interface WaitOptions {
    /** What is waited for, for the error's message. */
    readonly what: string;
    readonly boundMilliseconds?: number;
    /** Describes what was there in place of it, for the error's message. */
    readonly describe?: () => string;
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
    const { what, boundMilliseconds = defaultBoundMilliseconds } = options;
    const end = performance.now() + boundMilliseconds;
    while (performance.now() < end) {
        const value = await condition();
        if (value !== undefined && value !== false) {
            return value as Exclude<Value, undefined | false>;
        }
        await sleep(pollMilliseconds);
    }
    const found = options.describe === undefined ? "" : ` Found: ${options.describe()}.`;
    throw new Error(`Waited ${boundMilliseconds} ms in vain for ${what}.${found}`);
}
