/**
 * The callers of a run: they follow the site's addresses, come back when they are told to, and keep a record.
 */
import { setTimeout as wait } from "node:timers/promises";
import type { ChatCompletionRequest, ChatRecord, ServiceCallRequest, ServiceRecord } from "../caller/index.js";
import type { Clock } from "../common/index.js";
import type { LoadSettings } from "./profile.js";
import { createPrompt } from "./prompt.js";
import type { Arrival } from "./schedule.js";

const millisecondsPerSecond = 1000;

/** How callers reach the site. */
export interface SiteTransport {
    readonly chat: (ask: ChatCompletionRequest) => Promise<ChatRecord>;
    readonly callService: (ask: ServiceCallRequest) => Promise<ServiceRecord>;
    readonly resume: (entry: string, key: string, broken: ChatRecord) => Promise<ChatRecord>;
    /** Gives `HOST:PORT` for the next try. */
    readonly getAddress: () => Promise<string>;
}

/** What callers need. */
export interface LoadClientOptions {
    readonly transport: SiteTransport;
    readonly clock: Clock;
    readonly settings: Pick<LoadSettings, "boundMilliseconds" | "tries">;
    /** Distinguishes the idempotency keys and sessions of this run from those of others. */
    readonly runId: string;
    readonly sleep?: (milliseconds: number) => Promise<void>;
}

/** How a request ended for its caller. */
export type LoadEnd = "answered" | "refused" | "broken" | "failed";

/** What became of a request, with times from its intended arrival. */
export interface LoadRecord {
    readonly arrival: Arrival;
    readonly end: LoadEnd;
    /** HTTP status of the last try; 0 when its connection failed. */
    readonly status: number;
    readonly outcome: string | undefined;
    readonly version: string | undefined;
    readonly attempts: number;
    /** How much later than intended the first try was sent. */
    readonly lateMilliseconds: number;
    /** Undefined when no token came, and for answers that are not streamed. */
    readonly firstTokenMilliseconds: number | undefined;
    readonly milliseconds: number;
    /** Times between pieces of the answer that brought tokens. */
    readonly gaps: readonly number[];
    /** Time of each refusal from when its try was due. */
    readonly refusals: readonly number[];
}

interface AttemptResult {
    readonly status: number;
    readonly isComplete: boolean;
    readonly outcome: string | undefined;
    readonly version: string | undefined;
    readonly retryAfterSeconds: number | undefined;
    readonly firstTokenAt: number | undefined;
    readonly gaps: readonly number[];
}

const failedAttempt: AttemptResult = {
    status: 0,
    isComplete: false,
    outcome: undefined,
    version: undefined,
    retryAfterSeconds: undefined,
    firstTokenAt: undefined,
    gaps: [],
};

/** Sends requests for the callers of a run. */
export class LoadClient {
    readonly #options: LoadClientOptions;
    readonly #sessionTokens = new Map<string, string>();

    constructor(options: LoadClientOptions) {
        this.#options = options;
    }

    /**
     * Sends a request until it is answered, refused for good or tried often enough; never throws for what the site does.
     * @param arrival - The request.
     * @param intendedAt - When it was to arrive, on the monotonic clock. All times count from it.
     */
    async send(arrival: Arrival, intendedAt: number): Promise<LoadRecord> {
        const { clock, settings, sleep = wait } = this.#options;
        const lateMilliseconds = clock.monotonic() - intendedAt;
        const refusals: number[] = [];
        let dueAt = intendedAt;
        let attempts = 0;
        while (true) {
            const result = await this.#attempt(arrival);
            attempts += 1;
            const now = clock.monotonic();
            if (isRefusal(result)) {
                refusals.push(now - dueAt);
            }
            const retryDelay = getRetryDelay(arrival, result);
            if (retryDelay !== undefined && attempts < settings.tries) {
                dueAt = now + retryDelay;
                await sleep(retryDelay);
                continue;
            }
            return {
                arrival,
                end: getEnd(result),
                status: result.status,
                outcome: result.outcome,
                version: result.version,
                attempts,
                lateMilliseconds,
                firstTokenMilliseconds: result.firstTokenAt === undefined
                    ? undefined
                    : result.firstTokenAt - intendedAt,
                milliseconds: now - intendedAt,
                gaps: result.gaps,
                refusals,
            };
        }
    }

    async #attempt(arrival: Arrival): Promise<AttemptResult> {
        let entry: string;
        try {
            entry = await this.#options.transport.getAddress();
        }
        catch {
            // No entry tells the addresses: to the caller this is a connection that failed.
            return failedAttempt;
        }
        return arrival.work.kind === "service" ? this.#callService(arrival, entry) : this.#chat(arrival, entry);
    }

    async #chat(arrival: Arrival, entry: string): Promise<AttemptResult> {
        const { transport, clock, runId, settings } = this.#options;
        const { work } = arrival;
        const session = arrival.session === undefined ? undefined : `${runId}-${arrival.session}`;
        const gaps: number[] = [];
        let firstTokenAt: number | undefined;
        let lastTokenAt = 0;
        let eventCount = 0;
        const initial = await transport.chat({
            entry,
            key: work.key,
            model: work.model,
            text: createPrompt(arrival),
            streamed: work.streamed,
            application: work.application,
            requestClass: work.requestClass,
            session,
            sessionToken: session === undefined ? undefined : this.#sessionTokens.get(session),
            maxTokens: work.maximumTokens,
            timeoutMilliseconds: settings.boundMilliseconds,
            onProgress: count => {
                const now = clock.monotonic();
                if (count === eventCount) {
                    return;
                }
                if (firstTokenAt !== undefined) {
                    gaps.push(now - lastTokenAt);
                }
                firstTokenAt ??= now;
                lastTokenAt = now;
                eventCount = count;
            },
        });
        const record = await this.#resume(initial, work.key);
        if (session !== undefined && record.sessionToken !== undefined) {
            this.#sessionTokens.set(session, record.sessionToken);
        }
        if (record.isComplete && work.streamed) {
            firstTokenAt ??= clock.monotonic();
        }
        return {
            ...pickAttemptFields(record),
            isComplete: record.isComplete,
            version: record.version,
            firstTokenAt,
            gaps,
        };
    }

    /** Takes up a broken answer at the next entry, as often as a request may be tried. */
    async #resume(initial: ChatRecord, key: string): Promise<ChatRecord> {
        const { transport, settings } = this.#options;
        let record = initial;
        for (let count = 1; count < settings.tries; count += 1) {
            if (record.isComplete || record.status !== 200 || record.resumeToken === undefined) {
                return record;
            }
            try {
                const resumed = await transport.resume(await transport.getAddress(), key, record);
                // What broke off keeps its status, so that a failed resumption counts as a broken answer.
                record = {
                    ...resumed,
                    status: record.status,
                    version: resumed.version ?? record.version,
                    sessionToken: resumed.sessionToken ?? record.sessionToken,
                };
            }
            catch {
                return record;
            }
        }
        return record;
    }

    async #callService(arrival: Arrival, entry: string): Promise<AttemptResult> {
        const { transport, runId, settings } = this.#options;
        const { work, number } = arrival;
        const record = await transport.callService({
            entry,
            key: work.key,
            pool: work.pool ?? "",
            path: work.path,
            // Each try shows the same key, so that a call whose answer was lost is not run a second time.
            idempotencyKey: `${runId}-${number}`,
            body: `${work.name} ${runId}-${number}`,
            timeoutMilliseconds: settings.boundMilliseconds,
        });
        const isComplete = record.status >= 200 && record.status < 300;
        return { ...pickAttemptFields(record), isComplete, version: undefined, firstTokenAt: undefined, gaps: [] };
    }
}

function pickAttemptFields(
    record: ChatRecord | ServiceRecord,
): Pick<AttemptResult, "status" | "outcome" | "retryAfterSeconds"> {
    return { status: record.status, outcome: record.outcome, retryAfterSeconds: record.retryAfterSeconds };
}

function isRefusal({ isComplete, status }: AttemptResult): boolean {
    return !isComplete && status >= 400;
}

function getEnd(result: AttemptResult): LoadEnd {
    if (result.isComplete) {
        return "answered";
    }
    if (result.status === 0) {
        return "failed";
    }
    return isRefusal(result) ? "refused" : "broken";
}

/** Returns how long to wait before the next try, or undefined when there should be none. */
function getRetryDelay(arrival: Arrival, result: AttemptResult): number | undefined {
    if (result.isComplete) {
        return undefined;
    }
    if (result.status === 0) {
        // Only what cannot take effect twice is sent again when nobody knows what became of it: a chat completion
        // before its first token, or a call under its idempotency key.
        return result.firstTokenAt === undefined ? 0 : undefined;
    }
    const isRetryable = result.outcome === "not-run" || arrival.work.kind === "service";
    if (!isRetryable || result.retryAfterSeconds === undefined) {
        return undefined;
    }
    return result.retryAfterSeconds * millisecondsPerSecond;
}
