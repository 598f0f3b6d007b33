/**
 * A caller that keeps its own record of what it asked for and what it got, against which a site is judged.
 */
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";

const defaultBoundMilliseconds = 30_000;

/** A chat completion to ask for. */
export interface ChatAsk {
    /** `HOST:PORT` of the entry. */
    readonly entry: string;
    readonly key: string;
    readonly model?: string;
    readonly text: string;
    readonly streamed?: boolean;
    readonly application?: string;
    readonly requestClass?: string;
    readonly session?: string;
    readonly sessionToken?: string;
    readonly maximumTokens?: number;
    readonly boundMilliseconds?: number;
    /** Is called after each piece of the answer, with the number of events so far. */
    readonly onProgress?: (eventCount: number) => void;
    /** Leaves the answer after so many events, as a caller does whose connection breaks. */
    readonly leaveAfterEvents?: number;
}

/** What became of a request. */
export interface ChatRecord {
    /** HTTP status; 0 when the connection failed before one came. */
    readonly status: number;
    readonly requestId: string | undefined;
    readonly version: string | undefined;
    readonly text: string;
    /** Whether the answer came to its end mark. */
    readonly isWhole: boolean;
    readonly lastEventId: number;
    readonly resumeToken: string | undefined;
    readonly sessionToken: string | undefined;
    /** `not-run`, `unknown` or `ran`, as a refusal said. */
    readonly outcome: string | undefined;
    readonly problem: string | undefined;
    readonly retryAfterSeconds: number | undefined;
    readonly firstTokenMilliseconds: number;
    readonly milliseconds: number;
    readonly completionTokens: number;
}

/** A call to a plain service. */
export interface ServiceAsk {
    readonly entry: string;
    readonly key: string;
    readonly pool: string;
    readonly path: string;
    readonly idempotencyKey?: string;
    readonly body?: string;
    readonly boundMilliseconds?: number;
}

/** What became of a call to a plain service. */
export interface ServiceRecord {
    readonly status: number;
    readonly requestId: string | undefined;
    readonly text: string;
    readonly outcome: string | undefined;
    readonly isReplayed: boolean;
    readonly retryAfterSeconds: number | undefined;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Asks a site for work. */
export class Caller {
    readonly #agent = new Agent({ connections: 256, pipelining: 1, connect: { timeout: 2000 } });

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.#agent.destroy();
    }

    /**
     * Asks for a chat completion; never throws for what the site does.
     * @param ask - The request.
     */
    async chat(ask: ChatAsk): Promise<ChatRecord> {
        const collector = new AnswerCollector();
        const abort = new AbortController();
        const bound = AbortSignal.timeout(ask.boundMilliseconds ?? defaultBoundMilliseconds);
        try {
            const response = await request(`http://${ask.entry}/v1/chat/completions`, {
                method: "POST",
                dispatcher: this.#agent,
                signal: AbortSignal.any([abort.signal, bound]),
                headers: createHeaders(ask),
                body: JSON.stringify({
                    model: ask.model ?? "auto",
                    messages: [{ role: "user", content: ask.text }],
                    stream: ask.streamed === true,
                    max_tokens: ask.maximumTokens,
                }),
            });
            collector.begin(response.statusCode, response.headers);
            await this.#collect(response.body, collector, ask, abort);
        }
        catch {
            // The record tells how far the answer came; a broken connection is what many tests cause on purpose.
        }
        return collector.finish();
    }

    /**
     * Takes up a broken answer at any entry.
     * @param entry - `HOST:PORT` of the entry.
     * @param key - The API key.
     * @param broken - What came so far.
     */
    async resume(entry: string, key: string, broken: ChatRecord): Promise<ChatRecord> {
        const collector = new AnswerCollector(broken);
        try {
            const response = await request(`http://${entry}/v1/streams/current`, {
                dispatcher: this.#agent,
                signal: AbortSignal.timeout(defaultBoundMilliseconds),
                headers: {
                    "authorization": `Bearer ${key}`,
                    "x-rattanlock-resume": broken.resumeToken ?? "",
                    "last-event-id": String(broken.lastEventId),
                },
            });
            collector.begin(response.statusCode, response.headers);
            await this.#collect(response.body, collector, {}, new AbortController());
        }
        catch {
            // As above.
        }
        return collector.finish();
    }

    /**
     * Calls a plain service by POST; never throws for what the site does.
     * @param ask - The call.
     */
    async callService(ask: ServiceAsk): Promise<ServiceRecord> {
        try {
            const response = await request(`http://${ask.entry}/services/${ask.pool}${ask.path}`, {
                method: "POST",
                dispatcher: this.#agent,
                signal: AbortSignal.timeout(ask.boundMilliseconds ?? defaultBoundMilliseconds),
                headers: {
                    "authorization": `Bearer ${ask.key}`,
                    "content-type": "text/plain",
                    ...(ask.idempotencyKey === undefined ? {} : { "idempotency-key": ask.idempotencyKey }),
                },
                body: ask.body ?? "",
            });
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
        { leaveAfterEvents, onProgress }: Pick<ChatAsk, "leaveAfterEvents" | "onProgress">,
        abort: AbortController,
    ): Promise<void> {
        for await (const bytes of body) {
            collector.add(bytes);
            onProgress?.(collector.getEventCount());
            if (leaveAfterEvents !== undefined && collector.getEventCount() >= leaveAfterEvents) {
                abort.abort();
                return;
            }
        }
        collector.end();
    }
}

class AnswerCollector {
    readonly #startedAt = performance.now();
    readonly #decoder = new TextDecoder();
    readonly #parser = createParser({ onEvent: event => this.#takeEvent(event.id, event.data) });
    readonly #earlier: ChatRecord | undefined;
    #status = 0;
    #headers: Headers = {};
    #isStream = false;
    #document = "";
    #text: string;
    #lastEventId: number;
    #eventCount = 0;
    #isWhole = false;
    #firstTokenAt: number | undefined;
    #completionTokens = 0;
    #problem: string | undefined;

    constructor(earlier?: ChatRecord) {
        this.#earlier = earlier;
        this.#text = earlier?.text ?? "";
        this.#lastEventId = earlier?.lastEventId ?? 0;
    }

    begin(status: number, headers: Headers): void {
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
            this.#document += text;
        }
    }

    getEventCount(): number {
        return this.#eventCount;
    }

    end(): void {
        if (this.#isStream) {
            return;
        }
        const body = JSON.parse(this.#document) as ChatDocument;
        if (this.#status !== 200) {
            this.#problem = body.detail;
            return;
        }
        this.#text = body.choices?.[0]?.message?.content ?? "";
        this.#completionTokens = body.usage?.completion_tokens ?? 0;
        this.#isWhole = true;
    }

    finish(): ChatRecord {
        const now = performance.now();
        return {
            status: this.#status,
            requestId: getHeader(this.#headers, "x-request-id") ?? this.#earlier?.requestId,
            version: getHeader(this.#headers, "x-rattanlock-version"),
            text: this.#text,
            isWhole: this.#isWhole,
            lastEventId: this.#lastEventId,
            resumeToken: getHeader(this.#headers, "x-rattanlock-resume") ?? this.#earlier?.resumeToken,
            sessionToken: getHeader(this.#headers, "x-rattanlock-session-token"),
            outcome: getHeader(this.#headers, "x-rattanlock-outcome"),
            problem: this.#problem,
            retryAfterSeconds: toNumber(getHeader(this.#headers, "retry-after")),
            firstTokenMilliseconds: (this.#firstTokenAt ?? now) - this.#startedAt,
            milliseconds: now - this.#startedAt,
            completionTokens: this.#completionTokens,
        };
    }

    #takeEvent(id: string | undefined, data: string): void {
        this.#eventCount += 1;
        this.#firstTokenAt ??= performance.now();
        if (id !== undefined) {
            this.#lastEventId = Number(id);
        }
        if (data === "[DONE]") {
            this.#isWhole = true;
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

function createHeaders(ask: ChatAsk): Record<string, string> {
    const headers: Record<string, string> = {
        "authorization": `Bearer ${ask.key}`,
        "content-type": "application/json",
    };
    const optional = {
        "x-rattanlock-application": ask.application,
        "x-rattanlock-class": ask.requestClass,
        "x-rattanlock-session": ask.session,
        "x-rattanlock-session-token": ask.sessionToken,
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
