/**
 * A site whose runners fail every request, callers at all of its nodes, and the count of repeats that reach the runners.
 */
import { writeFileSync } from "node:fs";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Cut, PlatformSite, SiteNode } from "./platformSite.js";
import type { RetryAllowance } from "./retryWindows.js";
import type { ReceivedRequest } from "./standins/runnerStandin.js";
import type { StoreStandin } from "./standins/storeStandin.js";
import { type Arrival, evaluateStorm, type SentRequest, type StormResult } from "./stormResult.js";
import { answerInWay, type FailureWay, isRejection } from "./stormRunners.js";
import {
    createPromptHeaders,
    createStormConfiguration,
    createStormRecord,
    longDeadlineMilliseconds,
    runnerCount,
} from "./stormSite.js";

/** The settings of the test sites. */
const retryAllowance = { ratio: 0.9, extra: 40 };
const deadlineMilliseconds = 3_000;

/** What callers ask for: a call, a stream, or a stream of the model that the nodes choose. */
export type StormKind = "call" | "stream" | "prompt";

/** Load on a site and what is done to it. */
export interface StormOptions {
    readonly way: FailureWay;
    /** Returns how the runners answer at a time since the start of the load; by default always in the same way. */
    readonly getWay?: ((milliseconds: number) => FailureWay) | undefined;
    readonly requestsPerSecond: number;
    /** Returns the load at a time, as a factor of the usual one. */
    readonly getLoad?: ((milliseconds: number) => number) | undefined;
    /** Returns the index of the node that gets a request; by default all in turn. */
    readonly chooseNode?: ((count: number, milliseconds: number) => number) | undefined;
    /** What callers ask for in turn; by default what suits the way. */
    readonly kinds?: readonly StormKind[] | undefined;
    readonly milliseconds: number;
    /** Disturbs the nodes until the signal is aborted. */
    readonly disturb?: ((storm: RetryStorm, signal: AbortSignal) => Promise<void>) | undefined;
}

/** Options of a `RetryStorm`. */
export interface RetryStormOptions {
    /** Number of nodes. */
    readonly nodeCount?: number;
    /** Whether runners have several models, of which the nodes choose. */
    readonly hasModels?: boolean;
    /** The retries that the settings of the site allow. */
    readonly allowance?: RetryAllowance;
}

/** Sends requests to nodes in turn while all runners fail, and counts what arrives. */
export class RetryStorm {
    readonly #site: PlatformSite;
    #nodeCount: number;
    readonly #hasModels: boolean;
    readonly #allowance: RetryAllowance;
    readonly #sent: SentRequest[] = [];
    readonly #arrivals: Arrival[] = [];
    #startedAt = 0;

    /**
     * @param site - The site, which is not started yet.
     * @param options - What differs from the usual site.
     */
    constructor(
        site: PlatformSite,
        { nodeCount = 8, hasModels = false, allowance = retryAllowance }: RetryStormOptions = {},
    ) {
        this.#site = site;
        this.#nodeCount = nodeCount;
        this.#hasModels = hasModels;
        this.#allowance = allowance;
    }

    /** Starts the site, and waits until all nodes know each other. */
    async start(): Promise<void> {
        const site = this.#site;
        await site.start(runnerCount);
        if (this.#hasModels) {
            for (const id of site.runners.keys()) {
                site.register(id, createStormRecord());
            }
        }
        site.store.put("keyed.op", "config", createStormConfiguration(this.#hasModels));
        for (let index = 1; index <= this.#nodeCount; index += 1) {
            site.startCuttableNode(index);
        }
        for (const node of site.nodes) {
            await site.waitForReady(node);
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, this.#nodeCount);
        }
    }

    /** Runs the load and the disturbance, and compares what arrives with the budget of all nodes together. */
    async run(options: StormOptions): Promise<StormResult> {
        this.#sent.length = 0;
        this.#arrivals.length = 0;
        for (const [id, runner] of this.#site.runners) {
            runner.behaviour = (request, response) => this.#answer(options, { runner: id, request, response });
        }
        this.#startedAt = performance.now();
        const ending = new AbortController();
        const disturbing = options.disturb?.(this, ending.signal);
        const pending = await this.#sendAll(options);
        ending.abort();
        await disturbing;
        await Promise.all(pending);
        return evaluateStorm({
            sent: this.#sent,
            arrivals: this.#arrivals,
            nodes: this.getNodes().map(({ address }) => address),
            allowance: this.#allowance,
        });
    }

    /** The site's store. */
    get store(): StoreStandin {
        return this.#site.store;
    }

    /** Returns nodes in the order of their numbers; by default all. */
    getNodes(from = 0, to = this.#nodeCount): readonly SiteNode[] {
        return this.#site.nodes.slice(from, to);
    }

    /** Ends nodes at the same moment and starts them again at once, each when it has ended. */
    async restart(nodes: readonly SiteNode[], signal: "SIGKILL" | "SIGTERM" = "SIGKILL"): Promise<void> {
        for (const node of nodes) {
            node.child.kill(signal);
        }
        await Promise.all(nodes.map(async node => {
            await node.exited;
            this.#site.startCuttableNode(this.#site.nodes.indexOf(node) + 1);
        }));
    }

    /** Adds nodes, which get requests when they are ready. */
    async add(count: number): Promise<void> {
        for (let index = 1; index <= count; index += 1) {
            const node = this.#site.startCuttableNode(this.#nodeCount + 1);
            await this.#site.waitForReady(node);
            this.#nodeCount += 1;
        }
    }

    /** Ends the last nodes for good. */
    async remove(count: number): Promise<void> {
        const removed = this.getNodes(this.#nodeCount - count);
        this.#nodeCount -= count;
        for (const node of removed) {
            node.child.kill("SIGKILL");
            await node.exited;
        }
    }

    /** Pauses nodes for a while. */
    async pause(nodes: readonly SiteNode[], milliseconds: number): Promise<void> {
        for (const node of nodes) {
            node.child.kill("SIGSTOP");
        }
        await sleep(milliseconds);
        for (const node of nodes) {
            node.child.kill("SIGCONT");
        }
    }

    /** Cuts the paths of nodes to all runners, or restores them. */
    setCut(nodes: readonly SiteNode[], cut: Cut): void {
        for (const node of nodes) {
            writeFileSync(node.cutFile, cut);
        }
    }

    async #sendAll(options: StormOptions): Promise<readonly Promise<void>[]> {
        const { getLoad, chooseNode, kinds = [getKind(options.way)] } = options;
        const pending: Promise<void>[] = [];
        let dueAt = 0;
        while (this.#getElapsed() < options.milliseconds) {
            const count = pending.length;
            const index = chooseNode?.(count, this.#getElapsed()) ?? count;
            pending.push(this.#send(this.#site.nodes[index % this.#nodeCount], kinds[count % kinds.length]));
            dueAt += 1_000 / (options.requestsPerSecond * (getLoad?.(this.#getElapsed()) ?? 1));
            await sleep(Math.max(0, dueAt - this.#getElapsed()));
        }
        return pending;
    }

    async #send(node: SiteNode, kind: StormKind): Promise<void> {
        const id = `storm-${this.#sent.length}`;
        const milliseconds = kind === "prompt" ? longDeadlineMilliseconds : deadlineMilliseconds;
        this.#sent.push({ id, at: this.#getElapsed(), node: node.address, milliseconds });
        try {
            await this.#site.send(node, {
                path: kind === "call" ? "/call/1" : "/stream/1",
                headers: {
                    "attempt-id": id,
                    "deadline-ms": String(milliseconds),
                    ...(kind === "prompt" ? createPromptHeaders(this.#sent.length) : {}),
                },
            });
        }
        catch {
            // The node was killed, or the answer was broken off. Nothing is sent again.
        }
    }

    async #answer(
        options: StormOptions,
        { runner, request, response }: {
            readonly runner: string;
            readonly request: ReceivedRequest;
            readonly response: ServerResponse;
        },
    ): Promise<void> {
        const at = this.#getElapsed();
        const way = options.getWay?.(at) ?? options.way;
        // Requests of the nodes themselves have other paths.
        if (/^.(call|stream)/.test(request.target)) {
            this.#arrivals.push({
                id: String(request.headers["attempt-id"]),
                at,
                runner,
                isRejected: isRejection(way),
                milliseconds: Number(request.headers["deadline-ms"]),
            });
        }
        await answerInWay(way, request, response);
    }

    #getElapsed(): number {
        return performance.now() - this.#startedAt;
    }
}

/** Returns what callers ask for so that a way of failing shows. */
function getKind(way: FailureWay): StormKind {
    return way.endsWith("-event") || way === "late-reset" ? "stream" : "call";
}
