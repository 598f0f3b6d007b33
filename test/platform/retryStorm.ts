/**
 * A site whose runners fail every request, callers at all of its nodes, and the count of repeats that reach the runners.
 */
import { writeFileSync } from "node:fs";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, type Cut, type PlatformSite, type SiteNode } from "./platformSite.js";
import { createSeal, type ReceivedRequest } from "./standins/runnerStandin.js";
import type { StoreStandin } from "./standins/storeStandin.js";

const runnerCount = 6;
const maxAttempts = 4;
const failureMilliseconds = 25;
/** Longer than callers wait. */
const silenceMilliseconds = 4_000;
/** The settings of the test sites. */
const windowMilliseconds = 10_000;
const retryRatio = 0.9;
const retryExtra = 40;
/** Distance between the starts of two windows that are checked. */
const windowStepMilliseconds = 250;

/** How the runners fail. */
export type FailureWay = "reset" | "broken-off" | "broken-event" | "error" | "silent";

/** Load on a site and what is done to it. */
export interface StormOptions {
    readonly way: FailureWay;
    readonly requestsPerSecond: number;
    readonly milliseconds: number;
    /** Disturbs the nodes until the signal is aborted. */
    readonly disturb?: ((storm: RetryStorm, signal: AbortSignal) => Promise<void>) | undefined;
}

/** The repeats that reached the runners in one window, and those that are allowed. */
export interface RetryWindow {
    /** Start of the window since the start of the load, in milliseconds. */
    readonly from: number;
    readonly repeats: number;
    readonly allowed: number;
}

/** What came of a storm. */
export interface StormResult {
    /** The window with the most repeats compared to those allowed. */
    readonly worst: RetryWindow;
    readonly broken: readonly RetryWindow[];
    /** Requests that reached a runner, and arrivals beyond the first of each. */
    readonly arrived: number;
    readonly repeats: number;
}

interface TimedRequest {
    readonly id: string;
    /** Milliseconds since the start of the load. */
    readonly at: number;
}

/** Sends requests to nodes in turn while all runners fail, and counts what arrives. */
export class RetryStorm {
    readonly #site: PlatformSite;
    readonly #nodeCount: number;
    readonly #sent: TimedRequest[] = [];
    readonly #arrivals: TimedRequest[] = [];
    #startedAt = 0;

    /**
     * @param site - The site, which is not started yet.
     * @param nodeCount - Number of its nodes.
     */
    constructor(site: PlatformSite, nodeCount = 8) {
        this.#site = site;
        this.#nodeCount = nodeCount;
    }

    /** Starts the site, and waits until all nodes know each other. */
    async start(): Promise<void> {
        const site = this.#site;
        await site.start(runnerCount);
        site.store.put("keyed.op", "config", createStormConfiguration());
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
        for (const runner of this.#site.runners.values()) {
            runner.behaviour = (request, response) => this.#fail(options.way, request, response);
        }
        this.#startedAt = performance.now();
        const ending = new AbortController();
        const disturbing = options.disturb?.(this, ending.signal);
        const pending = await this.#sendAll(options);
        ending.abort();
        await disturbing;
        await Promise.all(pending);
        return this.#evaluate();
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
        const pending: Promise<void>[] = [];
        const pauseMilliseconds = 1_000 / options.requestsPerSecond;
        while (this.#getElapsed() < options.milliseconds) {
            const node = this.#site.nodes[pending.length % this.#nodeCount];
            pending.push(this.#send(node, options.way));
            await sleep(Math.max(0, pending.length * pauseMilliseconds - this.#getElapsed()));
        }
        return pending;
    }

    async #send(node: SiteNode, way: FailureWay): Promise<void> {
        const id = `storm-${this.#sent.length}`;
        this.#sent.push({ id, at: this.#getElapsed() });
        try {
            await this.#site.send(node, {
                path: way === "broken-event" ? "/stream/1" : "/call/1",
                headers: { "attempt-id": id },
            });
        }
        catch {
            // The node was killed, or the answer was broken off. Nothing is sent again.
        }
    }

    async #fail(way: FailureWay, request: ReceivedRequest, response: ServerResponse): Promise<void> {
        this.#arrivals.push({ id: String(request.headers["attempt-id"]), at: this.#getElapsed() });
        if (way === "error") {
            await sleep(failureMilliseconds);
            response.writeHead(500, createSeal(request)).end("failed");
            return;
        }
        if (way === "broken-off") {
            response.writeHead(200, { ...createSeal(request), "Content-Length": "100" }).write("half");
        }
        if (way === "broken-event") {
            response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
            response.write("id: 1\ndata: on");
        }
        await sleep(way === "silent" ? silenceMilliseconds : failureMilliseconds);
        response.destroy();
    }

    #getElapsed(): number {
        return performance.now() - this.#startedAt;
    }

    #evaluate(): StormResult {
        const repeats = findRepeats(this.#arrivals);
        const windows: RetryWindow[] = [];
        const end = this.#getElapsed();
        for (let from = -windowMilliseconds; from < end; from += windowStepMilliseconds) {
            const requests = [from, from - windowMilliseconds / 2, from - windowMilliseconds]
                .map(start => countWithin(this.#sent, start));
            windows.push({
                from,
                repeats: countWithin(repeats, from),
                allowed: Math.floor(retryRatio * Math.max(...requests) + retryExtra),
            });
        }
        const getUse = ({ repeats: count, allowed }: RetryWindow): number => count / allowed;
        return {
            worst: windows.reduce((worst, window) => getUse(window) > getUse(worst) ? window : worst),
            broken: windows.filter(window => window.repeats > window.allowed),
            arrived: this.#arrivals.length - repeats.length,
            repeats: repeats.length,
        };
    }
}

/** Creates a configuration in which calls and streams may be sent to four runners. */
function createStormConfiguration(): object {
    const configuration = createConfiguration(2) as { readonly routes: readonly object[]; };
    const routes = configuration.routes
        .filter(route => (route as { readonly name: string; }).name !== "booking")
        .map(route => ({ ...route, max_attempts: maxAttempts }));
    return { ...configuration, routes };
}

function findRepeats(arrivals: readonly TimedRequest[]): readonly TimedRequest[] {
    const seen = new Set<string>();
    return arrivals.filter(({ id }) => seen.size === seen.add(id).size);
}

function countWithin(requests: readonly TimedRequest[], from: number): number {
    return requests.filter(({ at }) => at >= from && at < from + windowMilliseconds).length;
}
