/**
 * The callers of a run: they follow the site's addresses, come back when they are told to, and keep a record.
 */
import { setTimeout as wait } from "node:timers/promises";
import type { ChatAsk, ChatRecord, ServiceAsk, ServiceRecord } from "../caller/index.js";
import type { Clock } from "../common/index.js";
import type { LoadSettings } from "./profile.js";
import { createPrompt } from "./prompt.js";
import type { Arrival } from "./schedule.js";

const millisecondsPerSecond = 1000;

/** How callers reach the site. */
export interface Channel {
    readonly chat: (ask: ChatAsk) => Promise<ChatRecord>;
    readonly callService: (ask: ServiceAsk) => Promise<ServiceRecord>;
    readonly resume: (entry: string, key: string, broken: ChatRecord) => Promise<ChatRecord>;
    /** Gives `HOST:PORT` for the next try. */
    readonly getAddress: () => Promise<string>;
}

/** What callers need. */
export interface LoadClientOptions {
    readonly channel: Channel;
    readonly clock: Clock;
    readonly settings: Pick<LoadSettings, "boundMilliseconds" | "tries">;
    /** Distinguishes the idempotency keys and sessions of this run from those of others. */
    readonly run: string;
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
    readonly tries: number;
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

interface Try {
    readonly status: number;
    readonly isWhole: boolean;
    readonly outcome: string | undefined;
    readonly version: string | undefined;
    readonly retryAfterSeconds: number | undefined;
    readonly firstTokenAt: number | undefined;
    readonly gaps: readonly number[];
}

const failedTry: Try = {
    status: 0,
    isWhole: false,
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
        let tries = 0;
        while (true) {
            const tried = await this.#try(arrival);
            tries += 1;
            const now = clock.monotonic();
            if (isRefusal(tried)) {
                refusals.push(now - dueAt);
            }
            const pause = getPause(arrival, tried);
            if (pause !== undefined && tries < settings.tries) {
                dueAt = now + pause;
                await sleep(pause);
                continue;
            }
            return {
                arrival,
                end: getEnd(tried),
                status: tried.status,
                outcome: tried.outcome,
                version: tried.version,
                tries,
                lateMilliseconds,
                firstTokenMilliseconds: tried.firstTokenAt === undefined ? undefined : tried.firstTokenAt - intendedAt,
                milliseconds: now - intendedAt,
                gaps: tried.gaps,
                refusals,
            };
        }
    }

    async #try(arrival: Arrival): Promise<Try> {
        let entry: string;
        try {
            entry = await this.#options.channel.getAddress();
        }
        catch {
            // No entry tells the addresses: to the caller this is a connection that failed.
            return failedTry;
        }
        return arrival.work.kind === "service" ? this.#callService(arrival, entry) : this.#chat(arrival, entry);
    }

    async #chat(arrival: Arrival, entry: string): Promise<Try> {
        const { channel, clock, run, settings } = this.#options;
        const { work } = arrival;
        const session = arrival.session === undefined ? undefined : `${run}-${arrival.session}`;
        const gaps: number[] = [];
        let firstTokenAt: number | undefined;
        let lastTokenAt = 0;
        let events = 0;
        const first = await channel.chat({
            entry,
            key: work.key,
            model: work.model,
            text: createPrompt(arrival),
            streamed: work.streamed,
            application: work.application,
            requestClass: work.requestClass,
            session,
            sessionToken: session === undefined ? undefined : this.#sessionTokens.get(session),
            maximumTokens: work.maximumTokens,
            boundMilliseconds: settings.boundMilliseconds,
            onProgress: count => {
                const now = clock.monotonic();
                if (count === events) {
                    return;
                }
                if (firstTokenAt !== undefined) {
                    gaps.push(now - lastTokenAt);
                }
                firstTokenAt ??= now;
                lastTokenAt = now;
                events = count;
            },
        });
        const record = await this.#resume(first, work.key);
        if (session !== undefined && record.sessionToken !== undefined) {
            this.#sessionTokens.set(session, record.sessionToken);
        }
        if (record.isWhole && work.streamed) {
            firstTokenAt ??= clock.monotonic();
        }
        return { ...pickTry(record), isWhole: record.isWhole, version: record.version, firstTokenAt, gaps };
    }

    /** Takes up a broken answer at the next entry, as often as a request may be tried. */
    async #resume(first: ChatRecord, key: string): Promise<ChatRecord> {
        const { channel, settings } = this.#options;
        let record = first;
        for (let count = 1; count < settings.tries; count += 1) {
            if (record.isWhole || record.status !== 200 || record.resumeToken === undefined) {
                return record;
            }
            try {
                const resumed = await channel.resume(await channel.getAddress(), key, record);
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

    async #callService(arrival: Arrival, entry: string): Promise<Try> {
        const { channel, run, settings } = this.#options;
        const { work, number } = arrival;
        const record = await channel.callService({
            entry,
            key: work.key,
            pool: work.pool ?? "",
            path: work.path,
            // Each try shows the same key, so that a call whose answer was lost is not run a second time.
            idempotencyKey: `${run}-${number}`,
            body: `${work.name} ${run}-${number}`,
            boundMilliseconds: settings.boundMilliseconds,
        });
        const isWhole = record.status >= 200 && record.status < 300;
        return { ...pickTry(record), isWhole, version: undefined, firstTokenAt: undefined, gaps: [] };
    }
}

function pickTry(record: ChatRecord | ServiceRecord): Pick<Try, "status" | "outcome" | "retryAfterSeconds"> {
    return { status: record.status, outcome: record.outcome, retryAfterSeconds: record.retryAfterSeconds };
}

function isRefusal({ isWhole, status }: Try): boolean {
    return !isWhole && status >= 400;
}

function getEnd(tried: Try): LoadEnd {
    if (tried.isWhole) {
        return "answered";
    }
    if (tried.status === 0) {
        return "failed";
    }
    return isRefusal(tried) ? "refused" : "broken";
}

/** Returns how long to wait before the next try, or undefined when there should be none. */
function getPause(arrival: Arrival, tried: Try): number | undefined {
    if (tried.isWhole) {
        return undefined;
    }
    if (tried.status === 0) {
        // Only what cannot take effect twice is sent again when nobody knows what became of it: a chat completion
        // before its first token, or a call under its idempotency key.
        return tried.firstTokenAt === undefined ? 0 : undefined;
    }
    const mayRepeat = tried.outcome === "not-run" || arrival.work.kind === "service";
    if (!mayRepeat || tried.retryAfterSeconds === undefined) {
        return undefined;
    }
    return tried.retryAfterSeconds * millisecondsPerSecond;
}
