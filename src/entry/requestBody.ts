/**
 * Reads request bodies with limits on their size, time and memory.
 */
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { Failure } from "../common/index.js";
import {
    type BodyReservation,
    readBody as readBoundedBody,
    type TurnQueue,
    type UnreadReason,
} from "../connections/index.js";

/** How long a body may wait for memory, in milliseconds. */
const maxWaitMilliseconds = 1_000;
/** Slow upstreams take some seconds to read a large body, so there is room for others by then. */
const memoryRetryAfterMilliseconds = 1_000;

/** Options of `readBody`. */
export interface BodyOptions {
    /** Maximum size of the body, in bytes. */
    readonly maxBytes: number;
    /** How long the caller may take to send the body, in milliseconds. */
    readonly timeoutMilliseconds: number;
    readonly memory: BodyReservation;
    /** Turns of bodies in tiny pieces. */
    readonly turns: TurnQueue;
    /** Aborted when the caller disconnects. */
    readonly disconnected: AbortSignal;
}

/**
 * Reads a body.
 *
 * Without limits, each caller that sends a very large body, or sends one slowly over minutes, would hold memory. Enough
 * of them would stop the entry for all callers.
 * @param request - The request.
 * @param options - The limits.
 */
export async function readBody(request: IncomingMessage, options: BodyOptions): Promise<Result<Buffer, Failure>> {
    const { maxBytes, timeoutMilliseconds, memory, turns, disconnected } = options;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<Result<Buffer, Failure>>(resolve => {
        timer = setTimeout(() => resolve(err(createTimeoutFailure())), timeoutMilliseconds);
    });
    const wait = { maxMilliseconds: maxWaitMilliseconds, disconnected };
    const pendingBody = readBoundedBody(request, {
        limit: maxBytes,
        maxMilliseconds: timeoutMilliseconds + maxWaitMilliseconds,
        memory,
        wait,
        turns,
    }).then(body => typeof body === "string" ? err(createUnreadFailure(body, maxBytes)) : ok(body));
    const result = await Promise.race([pendingBody, timeout]);
    clearTimeout(timer);
    result.map(body => memory.complete(body.length));
    return result;
}

function createTimeoutFailure(): Failure {
    return new Failure({
        kind: "deadline",
        message: "The body did not arrive in time.",
        remedy: "Send the body without pauses.",
    });
}

function createUnreadFailure(reason: UnreadReason, maxBytes: number): Failure {
    switch (reason) {
        case "too-large":
            return new Failure({
                kind: "invalid-input",
                message: `The body is larger than ${maxBytes} bytes.`,
                remedy: "Send a shorter history.",
            });
        case "no-memory":
            return new Failure({
                kind: "overloaded",
                message: "The bodies of other requests take the memory that this entry has for them.",
                remedy: "Send the request again later.",
                retryAfterMilliseconds: memoryRetryAfterMilliseconds,
            });
        case "gone":
            return new Failure({
                kind: "invalid-input",
                message: "The body could not be read: its connection was closed.",
                remedy: "Send the request again.",
            });
    }
}
