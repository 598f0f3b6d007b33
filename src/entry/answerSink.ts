/**
 * Sinks that send an answer to a caller, as server-sent events or as one document.
 */
import type { ServerResponse } from "node:http";
import { endOfStream, type EngineEvent, readUsage, type TokenUsage } from "../upstream/index.js";
import { AnswerText } from "./answerText.js";
import { createProblem, getProblemHeaders, type Refusal } from "./problem.js";

const eventStreamType = "text/event-stream; charset=utf-8";

/** Receives an answer for a caller. */
export interface AnswerSink {
    /** Whether any byte of the answer has been sent. */
    readonly hasStarted: boolean;
    /**
     * Starts the response.
     * @param headers - Headers besides the content type.
     */
    start(headers: Readonly<Record<string, string>>): void;
    /**
     * Writes an event. Waits while the caller reads more slowly than the engine writes.
     * @param event - The event.
     */
    write(event: EngineEvent): Promise<void>;
    /**
     * Ends a response that cannot be completed.
     * @param refusal - Why it cannot be completed.
     */
    fail(refusal: Refusal): void;
}

/** Streams an answer as server-sent events. */
export class EventStreamSink implements AnswerSink {
    readonly #response: ServerResponse;
    readonly #requestId: string;
    #started = false;

    constructor(response: ServerResponse, requestId: string) {
        this.#response = response;
        this.#requestId = requestId;
    }

    get hasStarted(): boolean {
        return this.#started;
    }

    start(headers: Readonly<Record<string, string>>): void {
        this.#started = true;
        // Headers that are only passed to `writeHead` cannot be read afterwards.
        this.#response.setHeader("content-type", eventStreamType);
        this.#response.writeHead(200, {
            "cache-control": "no-cache",
            ...headers,
        });
    }

    async write(event: EngineEvent): Promise<void> {
        if (this.#response.writableEnded) {
            return;
        }
        const isBelowHighWaterMark = this.#response.write(`id: ${event.id}\ndata: ${event.data}\n\n`);
        if (event.data === endOfStream) {
            this.#response.end();
            return;
        }
        if (!isBelowHighWaterMark && !this.#response.destroyed) {
            await waitForDrain(this.#response);
        }
    }

    fail(refusal: Refusal): void {
        endWithProblem(this.#response, refusal, this.#requestId);
    }
}

/** Sends an answer as one document. */
export class DocumentSink implements AnswerSink {
    readonly #response: ServerResponse;
    readonly #requestId: string;
    #text = new AnswerText();
    #headers: Readonly<Record<string, string>> = {};
    #usage: TokenUsage | undefined;

    constructor(response: ServerResponse, requestId: string) {
        this.#response = response;
        this.#requestId = requestId;
    }

    /** Always false: nothing is sent before the answer is complete, so the answer can always be run again. */
    get hasStarted(): boolean {
        return false;
    }

    start(headers: Readonly<Record<string, string>>): void {
        this.#headers = headers;
        this.#text = new AnswerText();
    }

    async write(event: EngineEvent): Promise<void> {
        if (event.data === endOfStream) {
            this.#send();
            return;
        }
        this.#usage = readUsage(event.data) ?? this.#usage;
        this.#text.add(event.data);
    }

    fail(refusal: Refusal): void {
        endWithProblem(this.#response, refusal, this.#requestId);
    }

    #send(): void {
        if (this.#response.writableEnded) {
            return;
        }
        const usage = this.#usage ?? { inputTokens: 0, cachedTokens: 0, outputTokens: 0 };
        this.#response.writeHead(200, { "content-type": "application/json", ...this.#headers });
        this.#response.end(JSON.stringify({
            id: `chatcmpl-${this.#requestId}`,
            object: "chat.completion",
            created: Math.floor(Date.now() / 1000),
            model: this.#headers["x-rattanlock-version"] ?? "",
            choices: [{
                index: 0,
                message: { role: "assistant", content: this.#text.getText() },
                finish_reason: this.#text.getFinishReason(),
            }],
            usage: {
                prompt_tokens: usage.inputTokens,
                completion_tokens: usage.outputTokens,
                total_tokens: usage.inputTokens + usage.outputTokens,
                prompt_tokens_details: { cached_tokens: usage.cachedTokens },
            },
        }));
    }
}

/**
 * Sends a refusal as the whole response.
 * @param response - The response, of which nothing has been sent.
 * @param refusal - The refusal.
 * @param requestId - Identifies the request.
 */
export function sendProblem(response: ServerResponse, refusal: Refusal, requestId: string): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const problem = createProblem(refusal, requestId);
    response.writeHead(problem.status, { ...getProblemHeaders(problem), "x-request-id": requestId });
    response.end(JSON.stringify(problem));
}

/**
 * Ends a response that cannot be completed, whether or not it has started. A response that has ended is left as it is.
 * @param response - The response.
 * @param refusal - Why it cannot be completed.
 * @param requestId - Identifies the request.
 */
export function endWithProblem(response: ServerResponse, refusal: Refusal, requestId: string): void {
    if (response.writableEnded) {
        return;
    }
    if (response.headersSent && response.getHeader("content-type") === eventStreamType) {
        // The status has already been sent. The public client raises an error for a chunk that contains `error`.
        response.end(`data: ${JSON.stringify(createProblem(refusal, requestId))}\n\n`);
        return;
    }
    sendProblem(response, refusal, requestId);
}

function waitForDrain(response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            response.off("drain", finish);
            response.off("close", finish);
            resolve();
        };
        response.on("drain", finish);
        response.on("close", finish);
    });
}
