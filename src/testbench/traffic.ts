/**
 * Generates load from many concurrent callers and records every response.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type Caller, type ChatRecord, type ServiceRecord } from "../caller/index.js";
import type { KeyedCall } from "./siteChecks.js";

const minWaitMilliseconds = 10;
/** Limits the wait that a refusal's `Retry-After` asks for, so that load continues. */
const maxWaitMilliseconds = 500;
const sessionTurns = 3;
const maxResumptions = 20;
const resumptionPauseMilliseconds = 250;
const maxPrintAttempts = 4;

/** Options of the traffic generator. */
export interface TrafficOptions {
    readonly caller: Caller;
    readonly key: string;
    readonly model?: string;
    /** Pool of the plain service. */
    readonly pool: string;
    readonly chatCallers: number;
    readonly printCallers: number;
    /** Returns the entry's `HOST:PORT` for the next request. */
    readonly getEntry: () => Promise<string>;
    /** Whether callers resume interrupted answers at the next entry. */
    readonly resumesBrokenAnswers: boolean;
}

/** Represents a chat completion with its entry, its session and its times. */
export interface TrafficChat {
    readonly record: ChatRecord;
    readonly entry: string;
    readonly session: string | undefined;
    /** Wall-clock milliseconds since the epoch. */
    readonly startedAt: number;
    readonly endedAt: number;
}

/** Sends requests until it is stopped. */
export class Traffic {
    readonly #options: TrafficOptions;
    readonly #chats: TrafficChat[] = [];
    readonly #prints: KeyedCall[] = [];
    readonly #loops: Promise<void>[] = [];
    #isStopped = false;

    constructor(options: TrafficOptions) {
        this.#options = options;
    }

    /** Starts the callers. */
    start(): void {
        for (let index = 0; index < this.#options.chatCallers; index += 1) {
            this.#loops.push(this.#runChatCaller(index));
        }
        for (let index = 0; index < this.#options.printCallers; index += 1) {
            this.#loops.push(this.#runPrintCaller());
        }
    }

    /** Stops the callers and waits until each has finished its request. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.#loops);
    }

    /** Returns the chat completions so far. */
    getChats(): readonly TrafficChat[] {
        return this.#chats;
    }

    /** Returns the calls to plain services so far. */
    getPrints(): readonly KeyedCall[] {
        return this.#prints;
    }

    /** Sends chats one after another. Every third caller holds sessions, and half of those send the previous session token. */
    async #runChatCaller(index: number): Promise<void> {
        const holdsSessions = index % 3 === 2;
        while (!this.#isStopped) {
            const session = holdsSessions ? randomUUID() : undefined;
            let sessionToken: string | undefined;
            for (let turn = 0; turn < (holdsSessions ? sessionTurns : 1); turn += 1) {
                const record = await this.#chat(index % 2 === 0, session, sessionToken);
                sessionToken = index % 2 === 0 ? record.sessionToken : undefined;
                await pause(record.retryAfterSeconds);
            }
        }
    }

    async #chat(streamed: boolean, session?: string, sessionToken?: string): Promise<ChatRecord> {
        const { caller, key, model, getEntry } = this.#options;
        const entry = await getEntry();
        const startedAt = Date.now();
        const request = { entry, key, model, text: "Does the tray hold nuts?", streamed, session, sessionToken };
        const record = await this.#resume(await caller.chat(request));
        this.#chats.push({ record, entry, session, startedAt, endedAt: Date.now() });
        return record;
    }

    async #resume(partial: ChatRecord): Promise<ChatRecord> {
        let record = partial;
        for (let count = 0; count < maxResumptions; count += 1) {
            if (!this.#options.resumesBrokenAnswers || record.isComplete || record.resumeToken === undefined) {
                return record;
            }
            await sleep(resumptionPauseMilliseconds);
            const { caller, key, getEntry } = this.#options;
            const resumed = await caller.resume(await getEntry(), key, record);
            record = { ...resumed, version: resumed.version ?? record.version };
        }
        return record;
    }

    async #runPrintCaller(): Promise<void> {
        while (!this.#isStopped) {
            const key = randomUUID();
            for (let attempt = 0; attempt < maxPrintAttempts; attempt += 1) {
                const record = await this.#print(key);
                this.#prints.push({ key, record });
                await pause(record.retryAfterSeconds);
                if (record.status === 200) {
                    break;
                }
            }
        }
    }

    async #print(idempotencyKey: string): Promise<ServiceRecord> {
        const { caller, key, pool, getEntry } = this.#options;
        const entry = await getEntry();
        return caller.callService({ entry, key, pool, path: "/print", idempotencyKey, body: idempotencyKey });
    }
}

/**
 * Finds errors that were not reported to callers as a refusal: failed connections, interrupted answers and unknown
 * outcomes. A refusal with the outcome "not-run" and a `Retry-After` is no error.
 * @param chats - The chat completions.
 * @param prints - The calls to plain services.
 * @returns One message for each error.
 */
export function findUnreportedErrors(chats: readonly TrafficChat[], prints: readonly KeyedCall[]): readonly string[] {
    const errors: string[] = [];
    for (const { record, entry, startedAt } of chats) {
        const isReported = record.outcome === "not-run" && record.retryAfterSeconds !== undefined;
        if (!record.isComplete && !isReported) {
            errors.push(`A chat at ${entry} (started at ${startedAt}) ended with ${record.status} ${record.problem}.`);
        }
    }
    for (const { key, record } of prints) {
        const isReported = record.outcome === "not-run" && record.retryAfterSeconds !== undefined;
        if (record.status !== 200 && !isReported) {
            errors.push(`The print ${key} ended with ${record.status} ${record.outcome} ${record.text.slice(0, 120)}.`);
        }
    }
    return errors;
}

async function pause(retryAfterSeconds: number | undefined): Promise<void> {
    const requestedMilliseconds = retryAfterSeconds === undefined ? minWaitMilliseconds : retryAfterSeconds * 1000;
    await sleep(Math.min(maxWaitMilliseconds, Math.max(minWaitMilliseconds, requestedMilliseconds)));
}
