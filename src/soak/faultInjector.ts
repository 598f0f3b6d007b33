/**
 * Injects faults into a running site and repairs each of them after its duration.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../common/index.js";
import { setFaults, type Site, waitUntil } from "../testbench/index.js";
import { drawEnvironmentFault, drawProcessFault, type FaultTargets, type SoakFault } from "./soakFault.js";

const lostAcknowledgements = 5;
const slowMilliseconds = 300;
const maxPauseMilliseconds = 1500;
const pollMilliseconds = 50;

/** A period in which a version was withdrawn in the configuration of every entry, in wall-clock milliseconds. */
export interface WithdrawalPeriod {
    readonly version: string;
    readonly from: number;
    readonly to: number;
}

/** An action of the soak, for the time line. */
export interface SoakEvent {
    readonly time: number;
    readonly text: string;
}

type Repair = () => Promise<void>;

/** Injects faults in two concurrent loops, one for processes and one for their environment, so that faults overlap. */
export class FaultInjector {
    readonly #site: Site;
    readonly #targets: FaultTargets;
    readonly #seed: number;
    readonly #events: SoakEvent[] = [];
    readonly #withdrawals: WithdrawalPeriod[] = [];
    #isStopped = false;
    #faultLoops: Promise<unknown> = Promise.resolve();
    #raceCount = 0;

    constructor(site: Site, seed: number) {
        this.#site = site;
        this.#seed = seed;
        this.#targets = {
            entries: site.getEntries().map(entry => entry.name),
            upstreams: [...site.getUpstreams().keys()],
        };
    }

    /** Starts injecting faults. */
    start(): void {
        this.#faultLoops = Promise.all([
            this.#runFaultLoop(new RandomSource(this.#seed), drawProcessFault),
            this.#runFaultLoop(new RandomSource(this.#seed + 1_000_003), drawEnvironmentFault),
        ]);
    }

    /** Repairs the current faults and stops. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.#faultLoops;
    }

    /** Returns the actions so far. */
    getEvents(): readonly SoakEvent[] {
        return this.#events;
    }

    /** Returns the periods in which a version was withdrawn on every entry. */
    getWithdrawals(): readonly WithdrawalPeriod[] {
        return this.#withdrawals;
    }

    async #runFaultLoop(
        random: RandomSource,
        draw: (random: RandomSource, targets: FaultTargets) => SoakFault,
    ): Promise<void> {
        while (!this.#isStopped) {
            const fault = draw(random, this.#targets);
            this.#addEvent(`${fault.kind} ${fault.target} for ${fault.durationMilliseconds} ms`);
            const repair = await this.#apply(fault);
            await this.#wait(fault.durationMilliseconds);
            await repair();
            this.#addEvent(`${fault.kind} ${fault.target} repaired`);
            await this.#wait(random.nextInteger(maxPauseMilliseconds));
        }
    }

    #apply(fault: SoakFault): Promise<Repair> {
        switch (fault.kind) {
            case "kill":
                return this.#restartAfter(fault.target, () => this.#site.getEntryOrThrow(fault.target).process.kill());
            case "stop":
                return this.#restartAfter(fault.target, () => this.#stopEntry(fault.target));
            case "freeze":
                return this.#freeze(this.#site.getEntryOrThrow(fault.target).process);
            case "freeze-upstream":
                return this.#freeze(this.#site.getUpstreamOrThrow(fault.target));
            case "cut":
                return this.#setLinkFaults(fault.target, { cut: true }, { cut: false });
            case "cut-to":
                return this.#setLinkFaults(fault.target, { oneWay: "to-target" }, { oneWay: "none" });
            case "cut-from":
                return this.#setLinkFaults(fault.target, { oneWay: "from-target" }, { oneWay: "none" });
            case "slow-link":
                return this.#setLinkFaults(fault.target, { delayMilliseconds: slowMilliseconds }, {
                    delayMilliseconds: 0,
                });
            case "log-outage":
                return this.#setPlatformFaults("log", { outage: "drop" }, { outage: "none" });
            case "log-slow":
                return this.#setPlatformFaults("log", { delayMilliseconds: slowMilliseconds }, {
                    delayMilliseconds: 0,
                });
            case "lost-acknowledgements":
                return this.#setPlatformFaults("log", { lostAcknowledgements }, { lostAcknowledgements: 0 });
            case "rating-outage":
                return this.#setPlatformFaults("rating", { outage: "answer" }, { outage: "none" });
            case "operators-race":
                return this.#publishConcurrently();
            case "withdraw":
                return this.#withdraw(fault.target, fault.durationMilliseconds);
            case "none":
                return Promise.resolve(async () => undefined);
        }
    }

    async #restartAfter(name: string, terminate: () => Promise<unknown>): Promise<Repair> {
        await terminate();
        return async () => {
            await this.#site.startEntry(name);
        };
    }

    async #stopEntry(name: string): Promise<void> {
        const code = await this.#site.getEntryOrThrow(name).process.stop();
        if (code !== 0) {
            this.#addEvent(`FAULT ${name} exited with code ${code} after a planned stop`);
        }
    }

    async #freeze(process: { pause(): void; resume(): void; }): Promise<Repair> {
        process.pause();
        return async () => process.resume();
    }

    async #setLinkFaults(link: string, faults: object, restored: object): Promise<Repair> {
        const [from, to] = link.split(">");
        await this.#site.setLinkFaults(from, to, faults);
        return () => this.#site.setLinkFaults(from, to, restored);
    }

    async #setPlatformFaults(service: "log" | "rating", faults: object, restored: object): Promise<Repair> {
        await setFaults(this.#site.getPlatformAddress(service), faults);
        return () => setFaults(this.#site.getPlatformAddress(service), restored);
    }

    /** Two operators publish the same key based on the same offset. Every entry must reject the same one of the two. */
    async #publishConcurrently(): Promise<Repair> {
        this.#raceCount += 1;
        const endOffset = (await this.#site.readStream("config")).length;
        const publish = (author: string, share: number) =>
            this.#site.publish(
                [{ section: "workspace.banquet", key: "share", value: String(share) }],
                author,
                endOffset,
            );
        await allSettledValues([publish("ana", 2 + this.#raceCount % 5), publish("ben", 8 + this.#raceCount % 5)]);
        return async () => undefined;
    }

    async #withdraw(version: string, durationMilliseconds: number): Promise<Repair> {
        const offset = await this.#setStatus(version, "withdrawn");
        const from = offset === undefined ? undefined : await this.#waitUntilApplied(offset, durationMilliseconds);
        return async () => {
            const to = Date.now();
            if (from !== undefined) {
                this.#withdrawals.push({ version, from, to });
            }
            await waitUntil(async () => await this.#setStatus(version, "serving") !== undefined, {
                description: `${version} to be set to serving again`,
            });
        };
    }

    /** Returns the offset, or undefined when the log did not acknowledge the change. */
    async #setStatus(version: string, value: string): Promise<number | undefined> {
        try {
            return await this.#site.publish([{ section: `version.${version}`, key: "status", value }]);
        }
        catch {
            return undefined;
        }
    }

    /** Returns the time at which every entry had applied a change, or undefined if the timeout expired first. */
    async #waitUntilApplied(offset: number, timeoutMilliseconds: number): Promise<number | undefined> {
        const deadline = performance.now() + timeoutMilliseconds;
        while (performance.now() < deadline && !this.#isStopped) {
            const [states] = await allSettledValues([
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

    #addEvent(text: string): void {
        this.#events.push({ time: Date.now(), text });
    }
}

/** Waits until all promises have settled. Returns undefined in place of the value of a rejected one. */
async function allSettledValues<Value>(promises: readonly Promise<Value>[]): Promise<readonly (Value | undefined)[]> {
    const settled = await Promise.allSettled(promises);
    return settled.map(result => result.status === "fulfilled" ? result.value : undefined);
}
