/**
 * The client that sends the requests of a run: it follows the site's addresses, retries after the delay that a refusal
 * specifies, and records the results.
 */
import { setTimeout as wait } from "node:timers/promises";
import type { ChatCompletionRequest, ChatRecord, ServiceCallRequest, ServiceRecord } from "../caller/index.js";
import type { Clock } from "../common/index.js";
import type { LoadSettings } from "./profile.js";
import { createPrompt } from "./prompt.js";
import type { Arrival } from "./schedule.js";

const millisecondsPerSecond = 1000;

/** Sends requests to the site. */
export interface SiteTransport {
    readonly chat: (request: ChatCompletionRequest) => Promise<ChatRecord>;
    readonly callService: (request: ServiceCallRequest) => Promise<ServiceRecord>;
    readonly resume: (entry: string, key: string, partial: ChatRecord) => Promise<ChatRecord>;
    /** Returns `HOST:PORT` for the next attempt. */
    readonly getAddress: () => Promise<string>;
}

/** Dependencies and settings of a load client. */
export interface LoadClientOptions {
    readonly transport: SiteTransport;
    readonly clock: Clock;
    readonly settings: Pick<LoadSettings, "boundMilliseconds" | "tries">;
    /** Distinguishes the idempotency keys and sessions of this run from those of other runs. */
    readonly runId: string;
    readonly sleep?: (milliseconds: number) => Promise<void>;
}

/** How a request ended for its caller. */
export type LoadEnd = "answered" | "refused" | "broken" | "failed";

/** The result of a request. Times count from its intended arrival. */
export interface LoadRecord {
    readonly arrival: Arrival;
    readonly end: LoadEnd;
    /** HTTP status of the last attempt; 0 when its connection failed. */
    readonly status: number;
    readonly outcome: string | undefined;
    readonly version: string | undefined;
    readonly attempts: number;
    /** Delay between the intended arrival and the first attempt. */
    readonly lateMilliseconds: number;
    /** Undefined when no token was received, and for answers that are not streamed. */
    readonly firstTokenMilliseconds: number | undefined;
    readonly milliseconds: number;
    /** Milliseconds between consecutive chunks of the answer that contained tokens. */
    readonly gaps: readonly number[];
    /** Milliseconds from the due time of each refused attempt to its refusal. */
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
     * Sends a request and retries it until it is answered, cannot be retried, or has had the maximum number of attempts.
     * Never throws for a failure of the site; the record shows it.
     * @param arrival - The request.
     * @param intendedAt - The intended arrival time on the monotonic clock. All times count from it.
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
            // No entry returned the addresses. For the caller this is the same as a failed connection.
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

    /** Resumes an interrupted answer at the next entry, within the maximum number of attempts. */
    async #resume(initial: ChatRecord, key: string): Promise<ChatRecord> {
        const { transport, settings } = this.#options;
        let record = initial;
        for (let count = 1; count < settings.tries; count += 1) {
            if (record.isComplete || record.status !== 200 || record.resumeToken === undefined) {
                return record;
            }
            try {
                const resumed = await transport.resume(await transport.getAddress(), key, record);
                // The status of the interrupted answer is kept, so that a failed resumption counts as a broken answer.
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
            // Every attempt sends the same key, so that a call whose answer was lost does not run a second time.
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

/** Returns the delay before the next attempt in milliseconds, or undefined when there should be none. */
function getRetryDelay(arrival: Arrival, result: AttemptResult): number | undefined {
    if (result.isComplete) {
        return undefined;
    }
    if (result.status === 0) {
        // The outcome is unknown, so only requests that cannot take effect twice are retried: a chat completion before
        // its first token, or a service call with its idempotency key.
        return result.firstTokenAt === undefined ? 0 : undefined;
    }
    const isRetryable = result.outcome === "not-run" || arrival.work.kind === "service";
    if (!isRetryable || result.retryAfterSeconds === undefined) {
        return undefined;
    }
    return result.retryAfterSeconds * millisecondsPerSecond;
}
