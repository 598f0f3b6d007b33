/**
 * Reads request bodies with a limit on their size and time.
 */
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import getRawBody from "raw-body";
import { Failure } from "../common/index.js";

/**
 * Reads a body.
 *
 * Without limits, each caller that sends a very large body, or sends one slowly over minutes, would hold memory. Enough
 * of them would stop the entry for all callers.
 * @param request - The request.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @param timeoutMilliseconds - How long the caller may take to send the body, in milliseconds.
 */
export async function readBody(
    request: IncomingMessage,
    maxBytes: number,
    timeoutMilliseconds: number,
): Promise<Result<Buffer, Failure>> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<Result<Buffer, Failure>>(resolve => {
        timer = setTimeout(() => resolve(err(createTimeoutFailure())), timeoutMilliseconds);
    });
    const pendingBody = getRawBody(request, { limit: maxBytes, length: request.headers["content-length"] })
        .then(body => ok(body), error => err(createReadFailure(error, maxBytes)));
    const result = await Promise.race([pendingBody, timeout]);
    clearTimeout(timer);
    return result;
}

function createTimeoutFailure(): Failure {
    return new Failure({
        kind: "deadline",
        message: "The body did not arrive in time.",
        remedy: "Send the body without pauses.",
    });
}

function createReadFailure(error: unknown, maxBytes: number): Failure {
    if ((error as { type?: string; }).type === "entity.too.large") {
        return new Failure({
            kind: "invalid-input",
            message: `The body is larger than ${maxBytes} bytes.`,
            remedy: "Send a shorter history.",
        });
    }
    return new Failure({
        kind: "invalid-input",
        message: `The body could not be read: ${(error as Error).message}.`,
        remedy: "Send the request again.",
        cause: error,
    });
}
