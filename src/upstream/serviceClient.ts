/**
 * Client of plain services. Forwards calls without interpreting them.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import { Failure, ReadTimeout } from "../common/index.js";
import { hasStatedEnd, listHeaders } from "../connections/index.js";
import type { Vm } from "../world/index.js";
import { type AnswerObserver, getSingleHeader } from "./answerObserver.js";
import { getOrigin } from "./engineClient.js";
import { classifyCallError, classifyRefusal, type UpstreamFailure } from "./upstreamFailure.js";

/** A call to a plain service. */
export interface ServiceCall {
    readonly requestId: string;
    readonly method: string;
    /** Path with query, starting with `/`. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    readonly idempotencyKey: string | undefined;
    readonly timeoutMilliseconds: number;
    readonly signal: AbortSignal;
}

/** Time within which a service has to answer that it runs. */
const maxLivenessMilliseconds = 1_000;
/** Path at which a service reports its load. */
const loadPath = "/load";

/** The complete answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** The service's reported load as `running/waiting/capacity`. */
    readonly loadHeader: string | undefined;
}

/** Headers of an answer that are forwarded to the caller. */
const forwardedHeaders = ["content-type", "content-language", "location", "etag", "last-modified", "cache-control"];

const leavingStatus = 409;
/** Larger ones are none of the protocol (RFC 9110, section 15). */
const maxStatus = 599;
const leavingType = "leaving";
const problemSchema = z.object({ type: z.string() });

/** Options of a service client. */
export interface ServiceClientOptions {
    readonly dispatcher: Dispatcher;
    /** Maximum size of an answer that is forwarded, in bytes. */
    readonly maxAnswerBytes: number;
    /** Receives the heads of answers. */
    readonly answerObserver?: AnswerObserver;
}

/** Calls plain services. */
export class ServiceClient {
    readonly #dispatcher: Dispatcher;
    readonly #maxAnswerBytes: number;
    readonly #answerObserver: AnswerObserver | undefined;

    constructor(options: ServiceClientOptions) {
        this.#dispatcher = options.dispatcher;
        this.#maxAnswerBytes = options.maxAnswerBytes;
        this.#answerObserver = options.answerObserver;
    }

    /**
     * Makes one call. Never retries it.
     * @param service - The VM of the service.
     * @param call - The call.
     */
    async call(service: Vm, call: ServiceCall): Promise<Result<ServiceAnswer, UpstreamFailure>> {
        const sentAt = this.#answerObserver?.getTime() ?? 0;
        try {
            const response = await request(`${getOrigin(service)}${call.path}`, {
                method: call.method as Dispatcher.HttpMethod,
                dispatcher: this.#dispatcher,
                headersTimeout: call.timeoutMilliseconds,
                bodyTimeout: call.timeoutMilliseconds,
                signal: call.signal,
                headers: {
                    ...call.headers,
                    "x-request-id": call.requestId,
                    ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
                },
                body: call.body,
            });
            this.#answerObserver?.observe(service, response, sentAt);
            if (response.statusCode > maxStatus) {
                await response.body.dump();
                return err({ outcome: "ran", failure: createStatusFailure(service, response.statusCode) });
            }
            const answer = await this.#readAnswer(response, service);
            if (answer.isOk() && !hasKnownEnd(response, call.method) && !await this.isRunning(service, call.signal)) {
                return err({ outcome: "ran", failure: createUnconfirmedFailure(service) });
            }
            if (answer.isOk() && isLeavingRefusal(answer.value)) {
                this.#answerObserver?.observeLeaving(service);
                return err(classifyRefusal(answer.value.status, service.id));
            }
            return answer;
        }
        catch (error) {
            return err(classifyCallError(error, service.id));
        }
    }

    async #readAnswer(
        response: Dispatcher.ResponseData,
        service: Vm,
    ): Promise<Result<ServiceAnswer, UpstreamFailure>> {
        const parts: Uint8Array[] = [];
        let size = 0;
        for await (const part of response.body as AsyncIterable<Uint8Array>) {
            size += part.byteLength;
            if (size > this.#maxAnswerBytes) {
                response.body.destroy();
                return err({ outcome: "ran", failure: this.#createTooLargeFailure(service) });
            }
            parts.push(part);
        }
        return ok({
            status: response.statusCode,
            headers: pickHeaders(response.headers),
            body: Buffer.concat(parts),
            loadHeader: getSingleHeader(response.headers["x-load"]),
        });
    }

    /**
     * Returns whether an upstream still runs after one of its answers has ended, by an answer to a request that is sent now. An answer with
     * neither a length nor chunks ends in order when its upstream is killed as well.
     * @param upstream - The VM of a service or an engine.
     * @param signal - Ends the wait.
     */
    async isRunning(upstream: Vm, signal?: AbortSignal): Promise<boolean> {
        const waiting = new AbortController();
        const timeout = new ReadTimeout(maxLivenessMilliseconds, () => waiting.abort());
        try {
            const response = await request(`${getOrigin(upstream)}${loadPath}`, {
                dispatcher: this.#dispatcher,
                signal: signal === undefined ? waiting.signal : AbortSignal.any([signal, waiting.signal]),
            });
            await response.body.dump();
            return true;
        }
        catch {
            // No answer is no sign of life, whatever the reason. The caller learns that its answer may be incomplete.
            return false;
        }
        finally {
            timeout.clear();
        }
    }

    #createTooLargeFailure(service: Vm): Failure {
        return new Failure({
            kind: "upstream-failed",
            message: `The answer of ${service.id} is larger than ${this.#maxAnswerBytes} bytes.`,
            remedy: "Request less from the service, or raise the limit in the entry's settings.",
        });
    }
}

/**
 * Returns whether an answer is the refusal of a leaving service, which it sends before any work. No other answer proves that
 * nothing ran: a service may have printed a label before it answered with an error.
 */
function isLeavingRefusal(answer: ServiceAnswer): boolean {
    const isProblem = answer.headers["content-type"]?.startsWith("application/problem+json") === true;
    if (answer.status !== leavingStatus || !isProblem) {
        return false;
    }
    const problem = problemSchema.safeParse(JSON.parse(Buffer.from(answer.body).toString()));
    return problem.success && problem.data.type === leavingType;
}

function hasKnownEnd({ statusCode: status, headers }: Dispatcher.ResponseData, method: string): boolean {
    return hasStatedEnd(method, { status, headers: listHeaders(headers) });
}

function createUnconfirmedFailure({ id }: Vm): Failure {
    return new Failure({
        kind: "upstream-failed",
        message: `The answer of ${id} may be incomplete: the service has not answered since it ended.`,
        remedy: "Check whether the call took effect before sending it again.",
    });
}

function createStatusFailure({ id }: Vm, status: number): Failure {
    return new Failure({
        kind: "upstream-failed",
        message: `The service ${id} answered with the status ${status}, which is none of the protocol.`,
        remedy:
            "Check whether the call took effect before sending it again, and have the service's operator look into it.",
    });
}

function pickHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    const picked: Record<string, string> = {};
    for (const name of forwardedHeaders) {
        const value = headers[name];
        if (typeof value === "string") {
            picked[name] = value;
        }
    }
    return picked;
}
