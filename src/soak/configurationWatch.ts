/**
 * Watches that no entry's configuration goes back, over restarts too.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryStatus, Site } from "../testbench/index.js";

const pollMilliseconds = 150;

interface Sight {
    readonly processId: number;
    readonly offset: number;
}

/** Polls all entries until it is stopped. */
export class ConfigurationWatch {
    readonly #site: Site;
    readonly #last = new Map<string, Sight>();
    readonly #faults: string[] = [];
    /** What every entry had in force at some time. */
    #inForce = -1;
    #isStopped = false;
    #loop: Promise<void> = Promise.resolve();

    constructor(site: Site) {
        this.#site = site;
    }

    /** Begins to watch. */
    start(): void {
        this.#loop = this.#run();
    }

    /** Ends watching. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.#loop;
    }

    /** Returns what went back. */
    getFaults(): readonly string[] {
        return this.#faults;
    }

    async #run(): Promise<void> {
        while (!this.#isStopped) {
            const before = this.#inForce;
            const offsets = await Promise.all(this.#site.getEntries().map(entry => this.#look(entry.name, before)));
            if (offsets.every(offset => offset !== undefined)) {
                this.#inForce = Math.max(this.#inForce, Math.min(...offsets));
            }
            await sleep(pollMilliseconds);
        }
    }

    async #look(name: string, inForce: number): Promise<number | undefined> {
        const processId = this.#site.getEntryOrThrow(name).process.getId();
        const status = await this.#readStatus(name);
        if (status === undefined || processId !== this.#site.getEntryOrThrow(name).process.getId()) {
            return undefined;
        }
        const { configurationOffset: offset, ready } = status;
        const last = this.#last.get(name);
        if (last?.processId === processId && offset < last.offset) {
            this.#faults.push(`The configuration of ${name} went back from ${last.offset} to ${offset}.`);
        }
        if (ready && offset < inForce) {
            this.#faults.push(`${name} serves by ${offset} although ${inForce} was in force everywhere.`);
        }
        this.#last.set(name, { processId, offset });
        return ready ? offset : undefined;
    }

    async #readStatus(name: string): Promise<EntryStatus | undefined> {
        try {
            return await this.#site.getStatus(name);
        }
        catch {
            return undefined;
        }
    }
}
