/**
 * Reads callers' HTTP requests and writes the answers that need no pipeline.
 */
import { err, type Result } from "neverthrow";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Failure, watchConnection } from "../common/index.js";
import type { BodyReservation } from "../connections/index.js";
import type { WaitingCaller } from "./callerDisconnection.js";
import type { CallerIdentity } from "./callerIdentity.js";
import { createNotRunRefusal, type Refusal } from "./problem.js";
import type { ServiceReply } from "./servicePipeline.js";

/** Headers of a caller that are forwarded to plain services. */
const forwardedHeaders = ["content-type", "accept", "accept-language", "if-match", "if-none-match"];

/** A call from an identified caller. */
export interface IncomingCall extends WaitingCaller {
    readonly requestId: string;
    readonly identity: CallerIdentity;
    readonly arrivedAt: number;
    /** The memory of its body. */
    readonly memory: BodyReservation;
}

/** Creates a controller that aborts when the caller closes its connection before the answer is complete. */
export function createDisconnection(incoming: IncomingMessage, response: ServerResponse): AbortController {
    const controller = new AbortController();
    watchConnection({ incoming, response, onDisconnected: () => controller.abort() });
    return controller;
}

/** Refuses a body and closes the connection, because the rest of the body is still being received. */
export function refuseAndClose(response: ServerResponse, failure: Failure): Refusal {
    response.setHeader("connection", "close");
    response.once("finish", () => response.req.destroy());
    return createNotRunRefusal(failure);
}

/** Returns a header that was sent once, or undefined. */
export function readSingleHeader(header: string | string[] | undefined): string | undefined {
    return typeof header === "string" ? header : undefined;
}

/** Returns the headers of a caller that are forwarded to plain services. */
export function selectForwardedHeaders(request: IncomingMessage): Readonly<Record<string, string>> {
    const selected: Record<string, string> = {};
    for (const name of forwardedHeaders) {
        const value = request.headers[name];
        if (typeof value === "string") {
            selected[name] = value;
        }
    }
    return selected;
}

/** Sends a plain service's answer. */
export function sendReply(response: ServerResponse, requestId: string, reply: ServiceReply): void {
    if (response.writableEnded) {
        return;
    }
    response.writeHead(reply.answer.status, {
        ...reply.answer.headers,
        "x-request-id": requestId,
        ...(reply.isReplayed ? { "idempotent-replayed": "true" } : {}),
    });
    response.end(reply.answer.body);
}

/** Creates the refusal of a call that was accepted and cannot be answered before the entry stops. */
export function createStopRefusal(): Refusal {
    return {
        outcome: "unknown",
        failure: new Failure({
            kind: "unavailable",
            message: "The entry stops before the request can be answered.",
            remedy: "Check its outcome, or resume its stream, at another address of GET /v1/addresses.",
        }),
    };
}

/** Creates the failure of a call to an entry that is not ready. */
export function createNotReadyResult(): Result<CallerIdentity, Failure> {
    return err(
        new Failure({
            kind: "unavailable",
            message: "This entry has just started: it has no configuration yet, or has not polled the upstreams.",
            remedy: "Send the request to another address of GET /v1/addresses.",
            retryAfterMilliseconds: 2000,
        }),
    );
}
