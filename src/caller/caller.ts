/**
 * A client that keeps its own records of requests and answers. Tests compare a site's behaviour with these records.
 */
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";

const defaultTimeoutMilliseconds = 30_000;

/** A request for a chat completion. */
export interface ChatCompletionRequest {
    /** `HOST:PORT` of the entry. */
    readonly entry: string;
    readonly key: string;
    readonly model?: string;
    /** Messages before the text, such as instructions that many prompts share. */
    readonly instructions?: readonly string[];
    readonly text: string;
    readonly streamed?: boolean;
    readonly application?: string;
    readonly requestClass?: string;
    readonly session?: string;
    readonly sessionToken?: string;
    readonly maxTokens?: number;
    readonly timeoutMilliseconds?: number;
    /** Called after each received chunk of the answer, with the number of events so far. */
    readonly onProgress?: (eventCount: number) => void;
    /** Closes the connection after this number of events, to simulate a connection that fails on the caller's side. */
    readonly disconnectAfterEvents?: number;
}

/** The result of a chat completion request. */
export interface ChatRecord {
    /** HTTP status; 0 when the connection failed before the status was received. */
    readonly status: number;
    readonly requestId: string | undefined;
    readonly version: string | undefined;
    readonly text: string;
    /** Whether the answer was received up to its end marker. */
    readonly isComplete: boolean;
    readonly lastEventId: number;
    readonly resumeToken: string | undefined;
    readonly sessionToken: string | undefined;
    /** `not-run`, `unknown` or `ran`, as reported by a refusal. */
    readonly outcome: string | undefined;
    readonly problem: string | undefined;
    readonly retryAfterSeconds: number | undefined;
    readonly firstTokenMilliseconds: number;
    readonly milliseconds: number;
    readonly completionTokens: number;
}

/** A call to a plain service. */
export interface ServiceCallRequest {
    readonly entry: string;
    readonly key: string;
    readonly pool: string;
    readonly path: string;
    readonly idempotencyKey?: string;
    readonly body?: string;
    readonly timeoutMilliseconds?: number;
}

/** The result of a call to a plain service. */
export interface ServiceRecord {
    readonly status: number;
    readonly requestId: string | undefined;
    readonly text: string;
    readonly outcome: string | undefined;
    readonly isReplayed: boolean;
    readonly retryAfterSeconds: number | undefined;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Sends chat completions and service calls to a site and records the results. */
export class Caller {
    readonly #agent = new Agent({ connections: 256, pipelining: 1, connect: { timeout: 2000 } });

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.#agent.destroy();
    }

    /**
     * Sends a chat completion request. Never throws for a failure of the site; the record shows it.
     * @param chatRequest - The request.
     */
    async chat(chatRequest: ChatCompletionRequest): Promise<ChatRecord> {
        const collector = new AnswerCollector();
        const abortController = new AbortController();
        const timeoutSignal = AbortSignal.timeout(chatRequest.timeoutMilliseconds ?? defaultTimeoutMilliseconds);
        try {
            const response = await request(`http://${chatRequest.entry}/v1/chat/completions`, {
                method: "POST",
                dispatcher: this.#agent,
                signal: AbortSignal.any([abortController.signal, timeoutSignal]),
                headers: createHeaders(chatRequest),
                body: JSON.stringify({
                    model: chatRequest.model ?? "auto",
                    messages: [
                        ...(chatRequest.instructions ?? []).map(content => ({ role: "system", content })),
                        { role: "user", content: chatRequest.text },
                    ],
                    stream: chatRequest.streamed === true,
                    max_tokens: chatRequest.maxTokens,
                }),
            });
            collector.start(response.statusCode, response.headers);
            await this.#collect(response.body, collector, chatRequest, abortController);
        }
        catch {
            // The record shows how much of the answer was received. Many tests break the connection on purpose.
        }
        return collector.toRecord();
    }

    /**
     * Resumes an interrupted answer at any entry.
     * @param entry - `HOST:PORT` of the entry.
     * @param key - The API key.
     * @param partial - The record of the part that was received.
     */
    async resume(entry: string, key: string, partial: ChatRecord): Promise<ChatRecord> {
        const collector = new AnswerCollector(partial);
        try {
            const response = await request(`http://${entry}/v1/streams/current`, {
                dispatcher: this.#agent,
                signal: AbortSignal.timeout(defaultTimeoutMilliseconds),
                headers: {
                    "authorization": `Bearer ${key}`,
                    "x-rattanlock-resume": partial.resumeToken ?? "",
                    "last-event-id": String(partial.lastEventId),
                },
            });
            collector.start(response.statusCode, response.headers);
            await this.#collect(response.body, collector, {}, new AbortController());
        }
        catch {
            // The record shows how much of the answer was received, as in `chat`.
        }
        return collector.toRecord();
    }

    /**
     * Calls a plain service by POST. Never throws for a failure of the site; the record shows it.
     * @param serviceRequest - The call.
     */
    async callService(serviceRequest: ServiceCallRequest): Promise<ServiceRecord> {
        try {
            const response = await request(
                `http://${serviceRequest.entry}/services/${serviceRequest.pool}${serviceRequest.path}`,
                {
                    method: "POST",
                    dispatcher: this.#agent,
                    signal: AbortSignal.timeout(serviceRequest.timeoutMilliseconds ?? defaultTimeoutMilliseconds),
                    headers: {
                        "authorization": `Bearer ${serviceRequest.key}`,
                        "content-type": "text/plain",
                        ...(serviceRequest.idempotencyKey === undefined
                            ? {}
                            : { "idempotency-key": serviceRequest.idempotencyKey }),
                    },
                    body: serviceRequest.body ?? "",
                },
            );
            return {
                status: response.statusCode,
                requestId: getHeader(response.headers, "x-request-id"),
                text: await response.body.text(),
                outcome: getHeader(response.headers, "x-rattanlock-outcome"),
                isReplayed: getHeader(response.headers, "idempotent-replayed") === "true",
                retryAfterSeconds: toNumber(getHeader(response.headers, "retry-after")),
            };
        }
        catch {
            return {
                status: 0,
                requestId: undefined,
                text: "",
                outcome: undefined,
                isReplayed: false,
                retryAfterSeconds: undefined,
            };
        }
    }

    async #collect(
        body: AsyncIterable<Uint8Array>,
        collector: AnswerCollector,
        { disconnectAfterEvents, onProgress }: Pick<ChatCompletionRequest, "disconnectAfterEvents" | "onProgress">,
        abortController: AbortController,
    ): Promise<void> {
        for await (const bytes of body) {
            collector.add(bytes);
            onProgress?.(collector.getEventCount());
            if (disconnectAfterEvents !== undefined && collector.getEventCount() >= disconnectAfterEvents) {
                abortController.abort();
                return;
            }
        }
        collector.end();
    }
}

/** Assembles the record of one answer from its response headers and body chunks. */
class AnswerCollector {
    readonly #startedAt = performance.now();
    readonly #decoder = new TextDecoder();
    readonly #parser = createParser({ onEvent: event => this.#handleEvent(event.id, event.data) });
    readonly #partial: ChatRecord | undefined;
    #status = 0;
    #headers: Headers = {};
    #isStream = false;
    #body = "";
    #text: string;
    #lastEventId: number;
    #eventCount = 0;
    #isComplete = false;
    #firstTokenAt: number | undefined;
    #completionTokens = 0;
    #problem: string | undefined;

    constructor(partial?: ChatRecord) {
        this.#partial = partial;
        this.#text = partial?.text ?? "";
        this.#lastEventId = partial?.lastEventId ?? 0;
    }

    start(status: number, headers: Headers): void {
        this.#status = status;
        this.#headers = headers;
        this.#isStream = getHeader(headers, "content-type")?.startsWith("text/event-stream") === true;
    }

    add(bytes: Uint8Array): void {
        const text = this.#decoder.decode(bytes, { stream: true });
        if (this.#isStream) {
            this.#parser.feed(text);
        }
        else {
            this.#body += text;
        }
    }

    getEventCount(): number {
        return this.#eventCount;
    }

    end(): void {
        if (this.#isStream) {
            return;
        }
        const document = JSON.parse(this.#body) as ChatDocument;
        if (this.#status !== 200) {
            this.#problem = document.detail;
            return;
        }
        this.#text = document.choices?.[0]?.message?.content ?? "";
        this.#completionTokens = document.usage?.completion_tokens ?? 0;
        this.#isComplete = true;
    }

    toRecord(): ChatRecord {
        const now = performance.now();
        return {
            status: this.#status,
            requestId: getHeader(this.#headers, "x-request-id") ?? this.#partial?.requestId,
            version: getHeader(this.#headers, "x-rattanlock-version"),
            text: this.#text,
            isComplete: this.#isComplete,
            lastEventId: this.#lastEventId,
            resumeToken: getHeader(this.#headers, "x-rattanlock-resume") ?? this.#partial?.resumeToken,
            sessionToken: getHeader(this.#headers, "x-rattanlock-session-token"),
            outcome: getHeader(this.#headers, "x-rattanlock-outcome"),
            problem: this.#problem,
            retryAfterSeconds: toNumber(getHeader(this.#headers, "retry-after")),
            firstTokenMilliseconds: (this.#firstTokenAt ?? now) - this.#startedAt,
            milliseconds: now - this.#startedAt,
            completionTokens: this.#completionTokens,
        };
    }

    #handleEvent(id: string | undefined, data: string): void {
        this.#eventCount += 1;
        this.#firstTokenAt ??= performance.now();
        if (id !== undefined) {
            this.#lastEventId = Number(id);
        }
        if (data === "[DONE]") {
            this.#isComplete = true;
            return;
        }
        const chunk = JSON.parse(data) as ChatChunk;
        this.#problem = chunk.error?.message ?? this.#problem;
        this.#text += chunk.choices?.[0]?.delta?.content ?? "";
        this.#completionTokens = chunk.usage?.completion_tokens ?? this.#completionTokens;
    }
}

interface ChatDocument {
    readonly detail?: string;
    readonly choices?: readonly { readonly message?: { readonly content?: string; }; }[];
    readonly usage?: { readonly completion_tokens?: number; };
}

interface ChatChunk {
    readonly error?: { readonly message?: string; };
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly usage?: { readonly completion_tokens?: number; };
}

function createHeaders(chatRequest: ChatCompletionRequest): Record<string, string> {
    const headers: Record<string, string> = {
        "authorization": `Bearer ${chatRequest.key}`,
        "content-type": "application/json",
    };
    const optional = {
        "x-rattanlock-application": chatRequest.application,
        "x-rattanlock-class": chatRequest.requestClass,
        "x-rattanlock-session": chatRequest.session,
        "x-rattanlock-session-token": chatRequest.sessionToken,
    };
    for (const [name, value] of Object.entries(optional)) {
        if (value !== undefined) {
            headers[name] = value;
        }
    }
    return headers;
}

function getHeader(headers: Headers, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
}

function toNumber(text: string | undefined): number | undefined {
    return text === undefined ? undefined : Number(text);
}
