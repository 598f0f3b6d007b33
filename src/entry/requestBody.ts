/**
 * Reads request bodies with a bound on their size and time.
 */
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import getRawBody from "raw-body";
import { Failure } from "../common/index.js";

/**
 * Reads a body.
 *
 * A body of any size, or one that trickles in for minutes, would hold memory for each such caller; enough of them
 * stop the entry for everybody.
 * @param request - The request.
 * @param maximumBytes - The largest body that is taken.
 * @param timeoutMilliseconds - How long the caller may take to send it.
 */
export async function readBody(
    request: IncomingMessage,
    maximumBytes: number,
    timeoutMilliseconds: number,
): Promise<Result<Buffer, Failure>> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<Result<Buffer, Failure>>(resolve => {
        timer = setTimeout(() => resolve(err(createLateFailure())), timeoutMilliseconds);
    });
    const read = getRawBody(request, { limit: maximumBytes, length: request.headers["content-length"] })
        .then(body => ok(body), error => err(describeFailure(error, maximumBytes)));
    const result = await Promise.race([read, late]);
    clearTimeout(timer);
    return result;
}

function createLateFailure(): Failure {
    return new Failure({
        kind: "deadline",
        message: "The body did not arrive in time.",
        remedy: "Send the body without pauses.",
    });
}

function describeFailure(error: unknown, maximumBytes: number): Failure {
    if ((error as { type?: string; }).type === "entity.too.large") {
        return new Failure({
            kind: "invalid-input",
            message: `The body is larger than ${maximumBytes} bytes.`,
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
