/**
 * Sends the demo's work and keeps the callers' own record of it.
 */
import { randomUUID } from "node:crypto";
import { Caller, type ChatRecord, getApiKey, type ServiceRecord, type Site } from "../testbench/index.js";
import type { DemoPlan, DemoWork } from "./demoPlan.js";

const callersPerWork = 6;
const turnsPerSession = 4;
const conflictStatus = 409;

/** A chat completion of the demo. */
export interface WorkRecord {
    readonly work: DemoWork;
    readonly chat: ChatRecord;
}

/** A label print or booking of the demo, sent twice under one key. */
export interface PrintRecord {
    readonly key: string;
    readonly first: ServiceRecord;
    readonly second: ServiceRecord;
}

/** Sends work until it is stopped. */
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

    /** Lets every caller finish its request. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.#loops);
        await this.#caller.close();
    }

    /** Returns the chat completions so far. */
    getChats(): readonly WorkRecord[] {
        return this.#chats;
    }

    /** Returns the prints or bookings so far. */
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

    /** Sends each call twice at two entries, as a caller does that did not get its first answer in time. */
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
            // Whoever comes second while the first runs is told so, and asks again for the first one's answer.
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
