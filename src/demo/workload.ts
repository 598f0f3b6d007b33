/**
 * Sends the work of the demo and records the results that the callers receive.
 */
import { randomUUID } from "node:crypto";
import { Caller, type ChatRecord, getApiKey, type ServiceRecord, type Site } from "../testbench/index.js";
import type { DemoPlan, DemoWork } from "./demoPlan.js";

const callersPerWork = 6;
const turnsPerSession = 4;
const conflictStatus = 409;

/** The result of a chat completion of the demo. */
export interface WorkRecord {
    readonly work: DemoWork;
    readonly chat: ChatRecord;
}

/** The results of a label print or booking of the demo, sent twice with the same key. */
export interface PrintRecord {
    readonly key: string;
    readonly first: ServiceRecord;
    readonly second: ServiceRecord;
}

/** Sends work until stopped. */
export class Workload {
    readonly #site: Site;
    readonly #plan: DemoPlan;
    readonly #caller = new Caller();
    readonly #loops: Promise<void>[] = [];
    readonly #chats: WorkRecord[] = [];
    readonly #prints: PrintRecord[] = [];
    #isStopped = false;
    #nextEntryIndex = 0;

    constructor(site: Site, plan: DemoPlan) {
        this.#site = site;
        this.#plan = plan;
    }

    /** Starts the callers. */
    start(): void {
        for (const work of this.#plan.work) {
            for (let count = 0; count < callersPerWork; count += 1) {
                this.#loops.push(this.#chat(work));
            }
        }
        this.#loops.push(this.#print());
    }

    /** Stops the callers and waits until each has finished its requests, including the remaining turns of a session. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.#loops);
        await this.#caller.close();
    }

    /** Returns the results of the chat completions so far. */
    getChats(): readonly WorkRecord[] {
        return this.#chats;
    }

    /** Returns the results of the prints or bookings so far. */
    getPrints(): readonly PrintRecord[] {
        return this.#prints;
    }

    async #chat(work: DemoWork): Promise<void> {
        while (!this.#isStopped) {
            const session = work.hasSessions ? randomUUID() : undefined;
            let sessionToken: string | undefined;
            for (let turn = 0; turn < (work.hasSessions ? turnsPerSession : 1); turn += 1) {
                const chat = await this.#caller.chat({
                    entry: this.#nextEntry(),
                    key: getApiKey(work.workspace),
                    text: work.text,
                    streamed: work.streamed,
                    requestClass: work.requestClass,
                    session,
                    sessionToken,
                });
                sessionToken = chat.sessionToken;
                this.#chats.push({ work, chat });
            }
        }
    }

    /** Sends each call twice, to two entries, like a caller that retries because it did not receive the first answer in time. */
    async #print(): Promise<void> {
        const { workspace, pool, path } = this.#plan.service;
        while (!this.#isStopped) {
            const key = randomUUID();
            const send = () =>
                this.#caller.callService({
                    entry: this.#nextEntry(),
                    key: getApiKey(workspace),
                    pool,
                    path,
                    idempotencyKey: key,
                    body: `work for ${key}`,
                });
            const [first, second] = await Promise.all([send(), send()]);
            // A second call that arrives while the first one runs is refused with 409. It is sent again to get the first
            // one's answer.
            const retried = second.status === conflictStatus ? await send() : second;
            this.#prints.push({ key, first, second: retried });
        }
    }

    #nextEntry(): string {
        const entries = this.#site.getEntries();
        this.#nextEntryIndex += 1;
        return entries[this.#nextEntryIndex % entries.length].callerAddress;
    }
}
