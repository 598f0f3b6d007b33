/**
 * Detects entries whose configuration goes back to an earlier offset, also across restarts.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { EntryStatus, Site } from "../testbench/index.js";

const pollMilliseconds = 150;

interface Observation {
    readonly processId: number;
    readonly offset: number;
}

/** Polls the configuration offsets of all entries until stopped. */
export class ConfigurationWatch {
    readonly #site: Site;
    readonly #lastObservations = new Map<string, Observation>();
    readonly #violations: string[] = [];
    /** Maximum offset that all entries are known to have applied. */
    #commonOffset = -1;
    #isStopped = false;
    #loop: Promise<void> = Promise.resolve();

    constructor(site: Site) {
        this.#site = site;
    }

    /** Starts polling. */
    start(): void {
        this.#loop = this.#run();
    }

    /** Stops polling. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.#loop;
    }

    /** Returns descriptions of the regressions found. */
    getViolations(): readonly string[] {
        return this.#violations;
    }

    async #run(): Promise<void> {
        while (!this.#isStopped) {
            const previousCommonOffset = this.#commonOffset;
            const offsets = await Promise.all(
                this.#site.getEntries().map(entry => this.#check(entry.name, previousCommonOffset)),
            );
            if (offsets.every(offset => offset !== undefined)) {
                this.#commonOffset = Math.max(this.#commonOffset, Math.min(...offsets));
            }
            await sleep(pollMilliseconds);
        }
    }

    async #check(name: string, commonOffset: number): Promise<number | undefined> {
        const processId = this.#site.getEntryOrThrow(name).process.getId();
        const status = await this.#readStatus(name);
        if (status === undefined || processId !== this.#site.getEntryOrThrow(name).process.getId()) {
            return undefined;
        }
        const { configurationOffset: offset, ready } = status;
        const last = this.#lastObservations.get(name);
        if (last?.processId === processId && offset < last.offset) {
            this.#violations.push(`The configuration offset of ${name} went back from ${last.offset} to ${offset}.`);
        }
        if (ready && offset < commonOffset) {
            this.#violations.push(
                `${name} is ready with configuration offset ${offset} although all entries had already applied ${commonOffset}.`,
            );
        }
        this.#lastObservations.set(name, { processId, offset });
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
