/**
 * Client of model engines (docs/design/interfaces.md, "Model engine").
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { Failure, readDocument } from "../common/index.js";
import type { LoadReport, Vm } from "../world/index.js";
import { type AnswerObserver, getSingleHeader } from "./answerObserver.js";
import { type EngineEvent, readEvents, type TokenUsage } from "./engineStream.js";
import { classifyCallError, classifyRefusal, type UpstreamFailure } from "./upstreamFailure.js";

/** Status with which an engine that leaves refuses a completion. */
const leavingStatus = 409;
/** The timeout of the HTTP client exceeds the deadline by this time. */
const timeoutSlackMilliseconds = 2000;

/** A chat completion to run on an engine. */
export interface EngineRequest {
    /** Identifies the stream on the engine. Unique for each attempt. */
    readonly streamId: string;
    readonly version: string;
    readonly requestClass: string;
    readonly priority: number;
    readonly deadlineMilliseconds: number;
    /** The parsed chat-completions body as sent by the caller. */
    readonly body: Readonly<Record<string, unknown>>;
    readonly signal: AbortSignal;
}

/** An answer that an engine has started. */
export interface EngineAnswer {
    /** The version that the engine reports. */
    readonly version: string;
    /** The engine's reported load as `running/waiting/capacity`. */
    readonly loadHeader: string | undefined;
    readonly events: AsyncGenerator<EngineEvent>;
}

/** Result of cancelling a stream. */
export interface Cancellation {
    /** `read`: the stream has another reader and continues. `over`: there is nothing to cancel. */
    readonly kind: "cancelled" | "read" | "over";
    readonly usage: TokenUsage | undefined;
}

/** Options of an engine client. */
export interface EngineClientOptions {
    readonly dispatcher: Dispatcher;
    /** Timeout for the response headers of all calls except completions, in milliseconds. */
    readonly headersTimeoutMilliseconds: number;
    /** Receives the heads of answers to completions. */
    readonly answerObserver?: AnswerObserver;
}

/** Calls model engines. */
export class EngineClient {
    readonly #dispatcher: Dispatcher;
    readonly #headersTimeout: number;
    readonly #answerObserver: AnswerObserver | undefined;

    constructor(options: EngineClientOptions) {
        this.#dispatcher = options.dispatcher;
        this.#headersTimeout = options.headersTimeoutMilliseconds;
        this.#answerObserver = options.answerObserver;
    }

    /**
     * Starts a chat completion, always streamed.
     * @param runner - The VM of the engine.
     * @param options - The request.
     */
    async complete(runner: Vm, options: EngineRequest): Promise<Result<EngineAnswer, UpstreamFailure>> {
        const sentAt = this.#answerObserver?.getTime() ?? 0;
        try {
            const response = await request(`${getOrigin(runner)}/v1/chat/completions`, {
                method: "POST",
                dispatcher: this.#dispatcher,
                // The headers arrive with the first token, so they may take as long as the whole answer. The signal ends the
                // request at its deadline. A coarse timer that fires a little earlier would look like a broken connection, and
                // the caller would receive an upstream failure instead of the timeout.
                headersTimeout: options.deadlineMilliseconds + timeoutSlackMilliseconds,
                bodyTimeout: options.deadlineMilliseconds + timeoutSlackMilliseconds,
                signal: options.signal,
                headers: {
                    "content-type": "application/json",
                    "x-request-id": options.streamId,
                    "x-request-class": options.requestClass,
                    "x-priority": String(options.priority),
                    "x-deadline": String(Math.ceil(options.deadlineMilliseconds)),
                },
                body: JSON.stringify({
                    ...options.body,
                    model: options.version,
                    stream: true,
                    stream_options: { include_usage: true },
                }),
            });
            this.#answerObserver?.observe(runner, response, sentAt);
            if (response.statusCode === leavingStatus) {
                this.#answerObserver?.observeLeaving(runner);
            }
            return await toAnswer(response, runner, 0);
        }
        catch (error) {
            return err(classifyCallError(error, runner.id));
        }
    }

    /**
     * Resumes a stream after an event.
     * @param runner - The VM of the engine that holds the stream.
     * @param streamId - The stream.
     * @param lastId - Number of the last event already seen.
     * @param signal - Stops the reading.
     */
    async resume(
        runner: Vm,
        streamId: string,
        lastId: number,
        signal: AbortSignal,
    ): Promise<Result<EngineAnswer, UpstreamFailure>> {
        try {
            const response = await request(`${getOrigin(runner)}/streams/${encodeURIComponent(streamId)}`, {
                dispatcher: this.#dispatcher,
                headersTimeout: this.#headersTimeout,
                signal,
                headers: { "last-event-id": String(lastId) },
            });
            return await toAnswer(response, runner, lastId);
        }
        catch (error) {
            return err(classifyCallError(error, runner.id));
        }
    }

    /**
     * Cancels a stream.
     * @param runner - The VM of the engine that holds the stream.
     * @param streamId - The stream.
     * @param onlyWhenIdle - Whether to leave the stream alone while it has another reader.
     */
    async cancel(
        runner: Vm,
        streamId: string,
        onlyWhenIdle: boolean,
    ): Promise<Result<Cancellation, UpstreamFailure>> {
        try {
            const query = onlyWhenIdle ? "?idle=true" : "";
            const response = await request(`${getOrigin(runner)}/streams/${encodeURIComponent(streamId)}${query}`, {
                method: "DELETE",
                dispatcher: this.#dispatcher,
                headersTimeout: this.#headersTimeout,
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                return ok({ kind: response.statusCode === 409 ? "read" : "over", usage: undefined });
            }
            const answer = JSON.parse(await readDocument(response.body)) as { usage?: Record<string, number>; };
            return ok({ kind: "cancelled", usage: toUsage(answer.usage) });
        }
        catch (error) {
            return err(classifyCallError(error, runner.id));
        }
    }

    /**
     * Requests the load of an upstream.
     * @param upstream - The VM of the upstream.
     */
    async getLoad(upstream: Vm): Promise<Result<LoadReport, UpstreamFailure>> {
        try {
            const response = await request(`${getOrigin(upstream)}/load`, {
                dispatcher: this.#dispatcher,
                headersTimeout: this.#headersTimeout,
                bodyTimeout: this.#headersTimeout,
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                return err(classifyRefusal(response.statusCode, upstream.id));
            }
            return ok(JSON.parse(await readDocument(response.body)) as LoadReport);
        }
        catch (error) {
            return err(classifyCallError(error, upstream.id));
        }
    }

    /**
     * Reads an engine's cache events.
     * @param runner - The VM of the engine.
     * @param from - The first sequence number to return.
     */
    async getCacheEvents(runner: Vm, from: number): Promise<Result<CacheEventPage, UpstreamFailure>> {
        try {
            const response = await request(`${getOrigin(runner)}/cache-events?from=${from}`, {
                dispatcher: this.#dispatcher,
                headersTimeout: this.#headersTimeout,
                bodyTimeout: this.#headersTimeout,
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                return err(classifyRefusal(response.statusCode, runner.id));
            }
            return ok(JSON.parse(await readDocument(response.body)) as CacheEventPage);
        }
        catch (error) {
            return err(classifyCallError(error, runner.id));
        }
    }
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed" | "cleared";
    readonly block: string;
}

/** A page of an engine's cache events. */
export interface CacheEventPage {
    readonly events: readonly CacheEvent[];
    readonly next: number;
}

/** Returns the base URL of a VM's upstream. */
export function getOrigin(upstream: Vm): string {
    return `http://${upstream.address}:${upstream.port}`;
}

async function toAnswer(
    response: Dispatcher.ResponseData,
    runner: Vm,
    lastId: number,
): Promise<Result<EngineAnswer, UpstreamFailure>> {
    if (response.statusCode !== 200) {
        await response.body.dump();
        const retryAfter = Number(response.headers["retry-after"]);
        return err(
            classifyRefusal(response.statusCode, runner.id, Number.isFinite(retryAfter) ? retryAfter : undefined),
        );
    }
    const version = response.headers["x-model-version"];
    if (typeof version !== "string") {
        response.body.destroy();
        return err({ outcome: "ran", failure: createVersionMissingFailure(runner) });
    }
    return ok({
        version,
        loadHeader: getSingleHeader(response.headers["x-load"]),
        events: readEvents(response.body, lastId),
    });
}

function toUsage(usage: Record<string, number> | undefined): TokenUsage | undefined {
    if (usage === undefined) {
        return undefined;
    }
    return {
        inputTokens: usage.prompt_tokens ?? 0,
        cachedTokens: usage.cached_tokens ?? 0,
        outputTokens: usage.completion_tokens ?? 0,
    };
}

function createVersionMissingFailure(runner: Vm): Failure {
    return new Failure({
        kind: "protocol",
        message: `The engine ${runner.id} does not report which version it runs.`,
        remedy: "Configure the engine to send X-Model-Version.",
    });
}
