import { setTimeout as sleep } from "node:timers/promises";
import type { EntryStatus, Site } from "../../src/testbench/index.js";

const pollMilliseconds = 30;

/** Polls the status of entries and records regressions: an offset that decreases, or a withdrawn version that returns. */
export class ConfigurationWatch {
    readonly #site: Site;
    readonly #violations: string[] = [];
    readonly #maxOffsets = new Map<string, number>();
    readonly #withdrawalOffsets = new Map<string, number>();
    #isStopped = false;
    readonly #loop: Promise<void>;

    constructor(site: Site, entries: readonly string[]) {
        this.#site = site;
        this.#loop = this.#run(entries);
    }

    /** Stops polling and returns one message for each regression. */
    async stop(): Promise<readonly string[]> {
        this.#isStopped = true;
        await this.#loop;
        return this.#violations;
    }

    async #run(entries: readonly string[]): Promise<void> {
        while (!this.#isStopped) {
            for (const entry of entries) {
                await this.#check(entry);
            }
            // A test that fails never stops its watch. The timer must not keep the process alive.
            await sleep(pollMilliseconds, undefined, { ref: false });
        }
    }

    async #check(entry: string): Promise<void> {
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
        // A new process starts without configuration, so offsets are compared within one process only.
        const processRun = `${entry} ${process.getId()}`;
        const previousOffset = this.#maxOffsets.get(processRun) ?? 0;
        if (status.configurationOffset < previousOffset) {
            this.#violations.push(`${entry} went back from offset ${previousOffset} to ${status.configurationOffset}.`);
        }
        this.#maxOffsets.set(processRun, Math.max(previousOffset, status.configurationOffset));
        for (const version of status.versions) {
            const withdrawalOffset = this.#withdrawalOffsets.get(version.id);
            if (version.status === "withdrawn") {
                this.#withdrawalOffsets.set(
                    version.id,
                    Math.min(withdrawalOffset ?? Infinity, status.configurationOffset),
                );
            }
            else if (withdrawalOffset !== undefined && status.configurationOffset >= withdrawalOffset) {
                this.#violations.push(`${entry} shows ${version.id} as ${version.status} after its withdrawal.`);
            }
        }
    }
}
