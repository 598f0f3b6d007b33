import { setTimeout as sleep } from "node:timers/promises";
import type { EntryStatus, Site } from "../../src/testbench/index.js";

const pauseMilliseconds = 30;

/** Looks at entries again and again, and notes whatever went back: an offset, or a version that was withdrawn. */
export class ConfigurationWatch {
    readonly #site: Site;
    readonly #faults: string[] = [];
    readonly #offsets = new Map<string, number>();
    readonly #withdrawn = new Map<string, number>();
    #isOver = false;
    readonly #loop: Promise<void>;

    constructor(site: Site, entries: readonly string[]) {
        this.#site = site;
        this.#loop = this.#run(entries);
    }

    /** Ends watching and returns what went back. */
    async end(): Promise<readonly string[]> {
        this.#isOver = true;
        await this.#loop;
        return this.#faults;
    }

    async #run(entries: readonly string[]): Promise<void> {
        while (!this.#isOver) {
            for (const entry of entries) {
                await this.#look(entry);
            }
            // A test that fails never ends its watch; that must not keep the process alive.
            await sleep(pauseMilliseconds, undefined, { ref: false });
        }
    }

    async #look(entry: string): Promise<void> {
        const { process } = this.#site.getEntryOrThrow(entry);
        if (process.hasExited()) {
            return;
        }
        let status: EntryStatus;
        try {
            status = await this.#site.getStatus(entry);
        }
        catch {
            return;
        }
        if (process.hasExited()) {
            return;
        }
        // A replaced process starts from nothing; it may not fall back afterwards.
        const run = `${entry} ${process.getId()}`;
        const before = this.#offsets.get(run) ?? 0;
        if (status.configurationOffset < before) {
            this.#faults.push(`${entry} went back from ${before} to ${status.configurationOffset}.`);
        }
        this.#offsets.set(run, Math.max(before, status.configurationOffset));
        for (const version of status.versions) {
            const since = this.#withdrawn.get(version.id);
            if (version.status === "withdrawn") {
                this.#withdrawn.set(version.id, Math.min(since ?? Infinity, status.configurationOffset));
            }
            else if (since !== undefined && status.configurationOffset >= since) {
                this.#faults.push(`${entry} shows ${version.id} as ${version.status} after its withdrawal.`);
            }
        }
    }
}
