/**
 * Lets faults happen to a running site, one after another, and mends each of them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../common/index.js";
import { setFaults, type Site, waitUntil } from "../testbench/index.js";
import { drawProcessFault, drawWorldFault, type FaultTargets, type SoakFault } from "./soakFault.js";

const lostAcknowledgements = 5;
const slowMilliseconds = 300;
const longestPauseMilliseconds = 1500;
const pollMilliseconds = 50;

/** A time during which a version was withdrawn in the configuration of every entry, in wall-clock milliseconds. */
export interface WithdrawnSpan {
    readonly version: string;
    readonly from: number;
    readonly to: number;
}

/** Something that the soak did, for the time line. */
export interface SoakNote {
    readonly time: number;
    readonly text: string;
}

type Mend = () => Promise<void>;

/** Injects faults in two lanes: one for processes, one for everything around them, so that two come together. */
export class FaultInjector {
    readonly #site: Site;
    readonly #targets: FaultTargets;
    readonly #seed: number;
    readonly #notes: SoakNote[] = [];
    readonly #withdrawn: WithdrawnSpan[] = [];
    #isStopped = false;
    #lanes: Promise<unknown> = Promise.resolve();
    #changes = 0;

    constructor(site: Site, seed: number) {
        this.#site = site;
        this.#seed = seed;
        this.#targets = {
            entries: site.getEntries().map(entry => entry.name),
            upstreams: [...site.getUpstreams().keys()],
        };
    }

    /** Begins. */
    start(): void {
        this.#lanes = Promise.all([
            this.#runLane(new RandomSource(this.#seed), drawProcessFault),
            this.#runLane(new RandomSource(this.#seed + 1_000_003), drawWorldFault),
        ]);
    }

    /** Mends what is broken and ends. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.#lanes;
    }

    /** Returns what was done. */
    getNotes(): readonly SoakNote[] {
        return this.#notes;
    }

    /** Returns when versions were withdrawn everywhere. */
    getWithdrawn(): readonly WithdrawnSpan[] {
        return this.#withdrawn;
    }

    async #runLane(
        random: RandomSource,
        draw: (random: RandomSource, targets: FaultTargets) => SoakFault,
    ): Promise<void> {
        while (!this.#isStopped) {
            const fault = draw(random, this.#targets);
            this.#note(`${fault.kind} ${fault.target} for ${fault.holdMilliseconds} ms`);
            const mend = await this.#apply(fault);
            await this.#wait(fault.holdMilliseconds);
            await mend();
            this.#note(`${fault.kind} ${fault.target} mended`);
            await this.#wait(random.nextInteger(longestPauseMilliseconds));
        }
    }

    #apply(fault: SoakFault): Promise<Mend> {
        switch (fault.kind) {
            case "kill":
                return this.#replace(fault.target, () => this.#site.getEntryOrThrow(fault.target).process.kill());
            case "stop":
                return this.#replace(fault.target, () => this.#stopEntry(fault.target));
            case "freeze":
                return this.#freeze(this.#site.getEntryOrThrow(fault.target).process);
            case "freeze-upstream":
                return this.#freeze(this.#site.getUpstreamOrThrow(fault.target));
            case "cut":
                return this.#link(fault.target, { cut: true }, { cut: false });
            case "cut-to":
                return this.#link(fault.target, { oneWay: "to-target" }, { oneWay: "none" });
            case "cut-from":
                return this.#link(fault.target, { oneWay: "from-target" }, { oneWay: "none" });
            case "slow-link":
                return this.#link(fault.target, { delayMilliseconds: slowMilliseconds }, { delayMilliseconds: 0 });
            case "log-outage":
                return this.#platform("log", { outage: "drop" }, { outage: "none" });
            case "log-slow":
                return this.#platform("log", { delayMilliseconds: slowMilliseconds }, { delayMilliseconds: 0 });
            case "lost-acknowledgements":
                return this.#platform("log", { lostAcknowledgements }, { lostAcknowledgements: 0 });
            case "rating-outage":
                return this.#platform("rating", { outage: "answer" }, { outage: "none" });
            case "operators-race":
                return this.#race();
            case "withdraw":
                return this.#withdraw(fault.target, fault.holdMilliseconds);
            case "none":
                return Promise.resolve(async () => undefined);
        }
    }

    async #replace(name: string, end: () => Promise<unknown>): Promise<Mend> {
        await end();
        return async () => {
            await this.#site.startEntry(name);
        };
    }

    async #stopEntry(name: string): Promise<void> {
        const code = await this.#site.getEntryOrThrow(name).process.stop();
        if (code !== 0) {
            this.#note(`FAULT ${name} ended with code ${code} after a planned stop`);
        }
    }

    async #freeze(process: { freeze(): void; wake(): void; }): Promise<Mend> {
        process.freeze();
        return async () => process.wake();
    }

    async #link(link: string, faults: object, mended: object): Promise<Mend> {
        const [from, to] = link.split(">");
        await this.#site.setLink(from, to, faults);
        return () => this.#site.setLink(from, to, mended);
    }

    async #platform(part: "log" | "rating", faults: object, mended: object): Promise<Mend> {
        await setFaults(this.#site.getPlatform(part), faults);
        return () => setFaults(this.#site.getPlatform(part), mended);
    }

    /** Two operators publish the same key from the same state; one of them is to be refused, the same everywhere. */
    async #race(): Promise<Mend> {
        this.#changes += 1;
        const end = (await this.#site.readStream("config")).length;
        const publish = (author: string, share: number) =>
            this.#site.publish([{ section: "workspace.banquet", key: "share", value: String(share) }], author, end);
        await settle([publish("ana", 2 + this.#changes % 5), publish("ben", 8 + this.#changes % 5)]);
        return async () => undefined;
    }

    async #withdraw(version: string, holdMilliseconds: number): Promise<Mend> {
        const offset = await this.#setStatus(version, "withdrawn");
        const from = offset === undefined ? undefined : await this.#waitInForce(offset, holdMilliseconds);
        return async () => {
            const to = Date.now();
            if (from !== undefined) {
                this.#withdrawn.push({ version, from, to });
            }
            await waitUntil(async () => await this.#setStatus(version, "serving") !== undefined, {
                what: `${version} to serve again`,
            });
        };
    }

    /** Returns the offset, or undefined when the log did not say that it took the change. */
    async #setStatus(version: string, value: string): Promise<number | undefined> {
        try {
            return await this.#site.publish([{ section: `version.${version}`, key: "status", value }]);
        }
        catch {
            return undefined;
        }
    }

    /** Returns when every entry had a change in force, or undefined if some had not in time. */
    async #waitInForce(offset: number, boundMilliseconds: number): Promise<number | undefined> {
        const end = performance.now() + boundMilliseconds;
        while (performance.now() < end && !this.#isStopped) {
            const [states] = await settle([
                Promise.all(this.#targets.entries.map(name => this.#site.getStatus(name))),
            ]);
            if (states?.every(status => status.configurationOffset > offset) === true) {
                return Date.now();
            }
            await sleep(pollMilliseconds);
        }
        return undefined;
    }

    async #wait(milliseconds: number): Promise<void> {
        const end = performance.now() + milliseconds;
        while (performance.now() < end && !this.#isStopped) {
            await sleep(pollMilliseconds);
        }
    }

    #note(text: string): void {
        this.#notes.push({ time: Date.now(), text });
    }
}

/** Waits for all of them, whatever becomes of them. */
async function settle<Value>(promises: readonly Promise<Value>[]): Promise<readonly (Value | undefined)[]> {
    const settled = await Promise.allSettled(promises);
    return settled.map(result => result.status === "fulfilled" ? result.value : undefined);
}
