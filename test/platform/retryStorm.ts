/**
 * A site whose runners fail every request, callers at all of its nodes, and the count of repeats that reach the runners.
 */
import { writeFileSync } from "node:fs";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, type Cut, type PlatformSite, type SiteNode } from "./platformSite.js";
import {
    countPaying,
    countWithin,
    findRepeats,
    findWindows,
    type PayingRequests,
    type RetryWindow,
    type TimedRequest,
} from "./retryWindows.js";
import type { ReceivedRequest } from "./standins/runnerStandin.js";
import type { StoreStandin } from "./standins/storeStandin.js";
import { answerInWay, type FailureWay, isRejection } from "./stormRunners.js";

const runnerCount = 6;
const maxAttempts = 4;
/** The settings of the test sites. */
const retryAllowance = { ratio: 0.9, extra: 40 };
const models = ["small", "middle", "large"];
const deadlineMilliseconds = 3_000;
const longDeadlineMilliseconds = 20_000;
/** Time by which a runner may go on beyond what its caller waits, and from which on an attempt is a late one. */
const overlongMilliseconds = 500;
const tokens = { prompt: 400, output: 40 };

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

/** What one node got and sent again in a window. */
export interface NodeWindow extends PayingRequests {
    readonly node: string;
    readonly repeats: number;
}

/** What came of a storm. */
export interface StormResult {
    /** The window with the most repeats compared to those allowed. */
    readonly worst: RetryWindow;
    readonly broken: readonly RetryWindow[];
    /** Requests that reached a runner, and arrivals beyond the first of each. */
    readonly arrived: number;
    readonly repeats: number;
    /** Requests that more runners got than their route allows, apart from those that rejected them. */
    readonly scattered: readonly string[];
    /** The worst window, by the nodes that got its requests. */
    readonly byNode: readonly NodeWindow[];
    /** Repeats that were given more time than their callers had left, and all that were sent so late. */
    readonly overlong: number;
    readonly late: number;
}

/** A request as a runner received it. */
interface Arrival extends TimedRequest {
    readonly runner: string;
    readonly isRejected: boolean;
    /** Time that the runner was given, in milliseconds. */
    readonly milliseconds: number;
}

interface SentRequest extends TimedRequest {
    /** Address of the node that got it. */
    readonly node: string;
    /** Time for which its caller waits. */
    readonly milliseconds: number;
}

interface RouteRecord {
    readonly name: string;
}

/** Options of a `RetryStorm`. */
export interface RetryStormOptions {
    /** Number of nodes. */
    readonly nodeCount?: number;
    /** Whether runners have several models, of which the nodes choose. */
    readonly hasModels?: boolean;
    /** The retries that the settings of the site allow. */
    readonly allowance?: { readonly ratio: number; readonly extra: number; };
}

/** A site of nodes that choose among several models, and the bounds in its settings. */
export const siteWithModels = {
    nodeCount: 6,
    hasModels: true,
    allowance: { ratio: 0.9, extra: 52 },
    bounds: { retry_budget_ratio: 0.9, budget_extra: 52 },
} as const;

/** Sends requests to nodes in turn while all runners fail, and counts what arrives. */
export class RetryStorm {
    readonly #site: PlatformSite;
    #nodeCount: number;
    readonly #hasModels: boolean;
    readonly #allowance: { readonly ratio: number; readonly extra: number; };
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
                site.register(id, { models: models.map(name => ({ name, version: 1 })) });
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

    #evaluate(): StormResult {
        const repeats = findRepeats(this.#arrivals);
        const windows = findWindows(this.#sent, repeats, this.#allowance);
        const getUse = ({ repeats: count, allowed }: RetryWindow): number => count / allowed;
        const worst = windows.reduce((other, window) => getUse(window) > getUse(other) ? window : other);
        return {
            worst,
            byNode: this.#divide(worst, repeats),
            broken: windows.filter(window => window.repeats > window.allowed),
            arrived: this.#arrivals.length - repeats.length,
            repeats: repeats.length,
            scattered: findScattered(this.#arrivals.filter(({ isRejected }) => !isRejected)),
            ...this.#countOverlong(),
        };
    }

    /** Divides a window by the nodes that got its requests. */
    #divide({ from }: RetryWindow, repeats: readonly TimedRequest[]): readonly NodeWindow[] {
        const nodes = new Map(this.#sent.map(({ id, node }) => [id, node]));
        return this.getNodes().map(({ address }) => ({
            node: address,
            ...countPaying(this.#sent.filter(({ node }) => node === address), from),
            repeats: countWithin(repeats.filter(({ id }) => nodes.get(id) === address), from),
        }));
    }

    /** Counts the repeats that were sent well after their first attempts, and those whose runners may go on for too long. */
    #countOverlong(): Pick<StormResult, "overlong" | "late"> {
        const sent = new Map(this.#sent.map(request => [request.id, request]));
        const first = new Map<string, Arrival>();
        let [late, overlong] = [0, 0];
        for (const arrival of this.#arrivals) {
            const earlier = first.get(arrival.id);
            const request = sent.get(arrival.id);
            if (earlier === undefined || request === undefined) {
                first.set(arrival.id, arrival);
                continue;
            }
            if (arrival.at - earlier.at > overlongMilliseconds) {
                late += 1;
                const end = Math.max(getEnd(earlier), getEnd(request)) + overlongMilliseconds;
                overlong += getEnd(arrival) > end ? 1 : 0;
            }
        }
        return { late, overlong };
    }
}

function getEnd({ at, milliseconds }: Pick<SentRequest, "at" | "milliseconds">): number {
    return at + milliseconds;
}

/** Returns the requests that more runners got than their route allows. */
function findScattered(arrivals: readonly Arrival[]): readonly string[] {
    const runners = new Map<string, Set<string>>();
    for (const { id, runner } of arrivals) {
        runners.set(id, (runners.get(id) ?? new Set()).add(runner));
    }
    return [...runners].filter(([, { size }]) => size > maxAttempts).map(([id]) => id);
}

/** Returns what callers ask for so that a way of failing shows. */
function getKind(way: FailureWay): StormKind {
    return way.endsWith("-event") || way === "late-reset" ? "stream" : "call";
}

/** Creates a configuration in which calls and streams may be sent to several runners. */
function createStormConfiguration(hasModels: boolean): object {
    const configuration = createConfiguration(2) as { readonly routes: readonly RouteRecord[]; };
    const routes = configuration.routes
        .filter(({ name }) => name !== "booking")
        .map(route => ({
            ...route,
            max_attempts: maxAttempts,
            ...(route.name === "stream" && hasModels ? { sizes: models, timeout_ms: longDeadlineMilliseconds } : {}),
        }));
    const engine = { models: models.map((name, index) => ({ name, cost: index + 1 })) };
    const services = (configuration as { services?: readonly object[]; }).services ?? [];
    return {
        ...configuration,
        routes,
        services: services.map(service => hasModels ? { ...service, engine } : service),
    };
}

/** Creates the headers of a prompt that any model may answer, with parts that others have too. */
function createPromptHeaders(count: number): Readonly<Record<string, string>> {
    return {
        "model": "*",
        "token-count": `${tokens.prompt},${tokens.output}`,
        "prompt-prefix": `f1:${tokens.prompt / 2},b${count % runnerCount}:${tokens.prompt / 4},c${count}:${
            tokens.prompt / 4
        }`,
    };
}
