/** The nodes of a soak test, and their faults. */
import { writeFileSync } from "node:fs";
import type { RandomSource } from "../../../src/common/index.js";
import type { EventLine } from "../../../src/events/index.js";
import type { Cut, PlatformSite, SiteNode } from "../platformSite.js";
import type { NodeOutage } from "./soakLimit.js";
import type { NodeFault } from "./soakLosses.js";
import { draw, type SoakRecord, wait } from "./soakRecord.js";

const cuts: readonly Cut[] = ["silent", "reset", "kept"];

/** Options of the nodes of a soak test. */
export interface SoakNodesOptions {
    readonly site: PlatformSite;
    readonly random: RandomSource;
    readonly record: SoakRecord;
    readonly count: number;
    /** Whether the paths of nodes to the runners can be cut. */
    readonly areCuttable: boolean;
    /** Returns the address at which a node reaches the store. */
    readonly getStoreAddress: (index: number) => string;
}

/** The end of a process. It lasts until the next one at its address says that it has started. */
interface ProcessEnd {
    readonly kind: "killed" | "stopped";
    readonly from: number;
    readonly process: SiteNode;
}

/** Starts nodes, stops, kills and pauses them and cuts their paths. */
export class SoakNodes {
    readonly outages: NodeOutage[] = [];
    readonly #faults: NodeFault[] = [];
    readonly #ends: ProcessEnd[] = [];
    /** All processes, those that have ended too. */
    readonly #processes: SiteNode[] = [];
    readonly #options: SoakNodesOptions;
    /** Indices from 1 of the nodes that are killed, stopped or paused at the moment. */
    readonly #unavailable = new Set<number>();
    #isStopped = false;

    constructor(options: SoakNodesOptions) {
        this.#options = options;
    }

    /** Starts all nodes and waits until they are ready. */
    async start(): Promise<void> {
        const { site, count } = this.#options;
        for (let index = 1; index <= count; index += 1) {
            this.#startNode(index);
        }
        for (const node of site.nodes) {
            await site.waitForReady(node);
        }
    }

    /** The lines of all processes, those that have ended too. */
    get lines(): readonly EventLine[] {
        return this.#processes.flatMap(({ events }) => events);
    }

    /** The faults of the nodes. */
    get faults(): readonly NodeFault[] {
        const ends = this.#ends.map(({ kind, from, process }) => ({
            node: process.address,
            kind,
            from,
            until: this.#findNextStart(process),
        }));
        return [...this.#faults, ...ends];
    }

    /** A process that is told to stop as it starts may say that it has started after that, so only the next one counts. */
    #findNextStart(ended: SiteNode): number {
        for (const { address, events } of this.#processes.slice(this.#processes.indexOf(ended) + 1)) {
            const line = events.find(({ name }) => name === "process-started");
            if (address === ended.address && line !== undefined) {
                return line.time - performance.timeOrigin;
            }
        }
        return Number.POSITIVE_INFINITY;
    }

    /** No longer reports nodes that exit. */
    ignoreExits(): void {
        this.#isStopped = true;
    }

    /** Kills a node or tells it to stop, and starts it again after a time. */
    async stopNode(signal: "SIGKILL" | "SIGTERM", faultMilliseconds: number): Promise<void> {
        const { site, record } = this.#options;
        const index = this.#drawNode();
        if (index === undefined) {
            return;
        }
        record.addFault(`${signal} to node ${index}, down for ${faultMilliseconds} ms`);
        this.#unavailable.add(index);
        const node = site.nodes[index - 1];
        const from = performance.now();
        const kind = signal === "SIGTERM" && node.events.length > 0 ? "stopped" : "killed";
        this.#ends.push({ kind, from, process: node });
        node.child.kill(signal);
        const code = await node.exited;
        // Until it serves, a node is terminated by the signal itself: seed 36 sent the signal 79 ms after a start.
        const hasStarted = node.events.some(event => event.name === "process-started");
        if (signal === "SIGTERM" && hasStarted && code !== 0) {
            record.addViolation(`node ${index} exited with ${code} after SIGTERM`);
        }
        await wait(faultMilliseconds);
        this.#startNode(index);
        this.outages.push({ node: node.address, from, until: performance.now() });
        record.addFault(`node ${index} started again`);
        this.#unavailable.delete(index);
    }

    /** Pauses a node. */
    async pauseNode(faultMilliseconds: number): Promise<void> {
        const index = this.#drawNode();
        if (index === undefined) {
            return;
        }
        this.#options.record.addFault(`node ${index} paused for ${faultMilliseconds} ms`);
        this.#unavailable.add(index);
        const { address, child } = this.#options.site.nodes[index - 1];
        const from = performance.now();
        child.kill("SIGSTOP");
        await wait(faultMilliseconds);
        child.kill("SIGCONT");
        const until = performance.now();
        this.outages.push({ node: address, from, until });
        this.#faults.push({ node: address, kind: "paused", from, until });
        this.#unavailable.delete(index);
    }

    /** Takes the paths to all runners away from one node or from several, or from all. */
    async cutNodes(faultMilliseconds: number): Promise<void> {
        const { site, random, record } = this.#options;
        const count = 1 + random.nextInteger(this.#options.count);
        const cut = draw(random, cuts);
        record.addFault(`${count} nodes reach no runner (${cut}) for ${faultMilliseconds} ms`);
        const nodes = site.nodes.slice(0, count);
        const from = performance.now();
        for (const { cutFile } of nodes) {
            writeFileSync(cutFile, cut);
        }
        await wait(faultMilliseconds);
        for (const { cutFile } of nodes) {
            writeFileSync(cutFile, "none");
        }
        const until = performance.now();
        this.#faults.push(...nodes.map(({ address }) => ({ node: address, kind: "cut" as const, from, until })));
    }

    /** Tells a node to read its settings again. */
    reload(): void {
        const index = this.#drawNode();
        if (index !== undefined) {
            this.#options.record.addFault(`SIGHUP to node ${index}`);
            this.#options.site.nodes[index - 1].child.kill("SIGHUP");
        }
    }

    #startNode(index: number): void {
        const { site, record, areCuttable, getStoreAddress } = this.#options;
        const node = areCuttable
            ? site.startCuttableNode(index, "none", getStoreAddress(index))
            : site.startNode(index, [], getStoreAddress(index));
        this.#processes.push(node);
        void node.exited.then(code => {
            if (this.#unavailable.has(index) || this.#isStopped) {
                return;
            }
            // For a tenth of a second after its start, a process runs no code of the program that could handle a signal.
            if (node.child.signalCode === "SIGHUP" && node.events.length === 0) {
                record.addFault(`node ${index} ended by SIGHUP before it ran, started again`);
                this.#startNode(index);
            }
            else {
                record.addViolation(`node ${index} exited unexpectedly with ${code} at ${record.getElapsed()}`);
            }
        });
    }

    #drawNode(): number | undefined {
        const { count, random } = this.#options;
        const available = Array.from({ length: count }, (...[, index]) => index + 1).filter(index =>
            !this.#unavailable.has(index)
        );
        // One node always stays available, so that the others can read from a peer and callers get answers.
        return available.length <= 1 ? undefined : draw(random, available);
    }
}
