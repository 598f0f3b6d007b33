/**
 * A simplified simulation of a model runner: continuous batching, a prefix cache of limited size, a queue, and load
 * reports. It models only what the decisions depend on.
 */
import type { LoadReport, Vm } from "../world/index.js";
import type { EventQueue } from "./eventQueue.js";

const tokensPerBlock = 128;
const fixedTokens = 64;
const connectionFailureMilliseconds = 3;

/** A request to a simulated runner. */
export interface SimulatedRequest {
    readonly blocks: readonly string[];
    readonly outputTokens: number;
    readonly priority: number;
}

/** Callbacks that receive the progress of a request. */
export interface AnswerCallbacks {
    readonly onFirstToken: (loadHeader: string) => void;
    readonly onEnd: (outcome: "ok" | "failed" | "refused") => void;
}

/** Options of a simulated runner. */
export interface SimulatedRunnerOptions {
    readonly vm: Vm;
    readonly queue: EventQueue;
    readonly version: string;
    /** Maximum number of requests that run concurrently. */
    readonly capacity: number;
    /** Factor by which all service times are multiplied; with 2, requests take twice as long. */
    readonly slowness: number;
    /** Whether it always reports that it is idle. */
    readonly reportsNoLoad: boolean;
    /** Capacity of its prefix cache, in blocks. */
    readonly cacheBlocks: number;
    readonly prefillMillisecondsPerToken: number;
    readonly decodeMillisecondsPerToken: number;
}

interface Job {
    readonly request: SimulatedRequest;
    readonly callbacks: AnswerCallbacks;
    isDone: boolean;
}

/** How a runner fails. `crashed` breaks connections at once; `silent` accepts requests and never answers. */
export type RunnerFault = "none" | "crashed" | "silent";

/** Returns how long a request occupies a slot of a full runner that has none of its prompt cached, in milliseconds. */
export function getFullLoadServiceTime(options: SimulatedRunnerOptions, blocks: number, outputTokens: number): number {
    const prefillMilliseconds = (fixedTokens + blocks * tokensPerBlock) * options.prefillMillisecondsPerToken * 1.5;
    return options.slowness * (prefillMilliseconds + outputTokens * options.decodeMillisecondsPerToken * 2);
}

/** A simulated runner. */
export class SimulatedRunner {
    readonly options: SimulatedRunnerOptions;
    /** Additional factor for all service times; raised during a brown-out. */
    slowdown = 1;
    readonly #running = new Set<Job>();
    #waiting: Job[] = [];
    #fault: RunnerFault = "none";
    /** Cached blocks, the least recently used first. */
    readonly #cache = new Set<string>();
    #cacheEvents: { readonly kind: "stored" | "removed"; readonly block: string; }[] = [];

    constructor(options: SimulatedRunnerOptions) {
        this.options = options;
    }

    /** Returns the number of running and waiting requests. */
    getLoad(): number {
        return this.#running.size + this.#waiting.length;
    }

    /** Returns the number of leading blocks that are cached. */
    getCachedBlocks(blocks: readonly string[]): number {
        let count = 0;
        while (count < blocks.length && this.#cache.has(blocks[count])) {
            count += 1;
        }
        return count;
    }

    /** Starts or queues a request. */
    start(request: SimulatedRequest, callbacks: AnswerCallbacks): void {
        const { queue, capacity } = this.options;
        if (this.#fault === "crashed") {
            queue.schedule(connectionFailureMilliseconds, () => callbacks.onEnd("failed"));
            return;
        }
        if (this.#waiting.length >= 2 * capacity) {
            queue.schedule(1, () => callbacks.onEnd("refused"));
            return;
        }
        this.#waiting.push({ request, callbacks, isDone: false });
        this.#startNext();
    }

    /** Makes the runner fail, or work again with an empty cache. */
    setFault(fault: RunnerFault): void {
        this.#fault = fault;
        const interruptedJobs = [...this.#running, ...this.#waiting];
        this.#running.clear();
        this.#waiting = [];
        this.#cache.clear();
        for (const job of interruptedJobs) {
            job.isDone = true;
            if (fault === "crashed") {
                job.callbacks.onEnd("failed");
            }
        }
    }

    /** Returns the load that it reports now, or `undefined` when it does not answer. */
    getReport(): LoadReport | undefined {
        if (this.#fault !== "none") {
            return undefined;
        }
        const { vm, queue, version, capacity, reportsNoLoad } = this.options;
        return {
            upstream: vm.id,
            measuredAt: queue.now(),
            running: reportsNoLoad ? 0 : this.#running.size,
            waiting: reportsNoLoad ? 0 : this.#waiting.length,
            capacity,
            versions: [version],
            leaving: false,
        };
    }

    /** Returns the cache events since the last call. */
    takeCacheEvents(): readonly { readonly kind: "stored" | "removed"; readonly block: string; }[] {
        const taken = this.#cacheEvents;
        this.#cacheEvents = [];
        return taken;
    }

    #startNext(): void {
        while (this.#fault === "none" && this.#running.size < this.options.capacity && this.#waiting.length > 0) {
            this.#run(this.#dequeueMostUrgent());
        }
    }

    #dequeueMostUrgent(): Job {
        let index = 0;
        for (const [other, job] of this.#waiting.entries()) {
            if (job.request.priority < this.#waiting[index].request.priority) {
                index = other;
            }
        }
        return this.#waiting.splice(index, 1)[0];
    }

    #run(job: Job): void {
        const { queue, capacity, slowness, prefillMillisecondsPerToken, decodeMillisecondsPerToken } = this.options;
        this.#running.add(job);
        const utilization = this.#running.size / capacity;
        const { blocks, outputTokens } = job.request;
        const uncached = blocks.length - this.getCachedBlocks(blocks);
        this.#store(blocks);
        const scale = slowness * this.slowdown;
        const prefillTokens = fixedTokens + uncached * tokensPerBlock;
        const prefillMilliseconds = scale * prefillTokens * prefillMillisecondsPerToken * (1 + utilization / 2);
        const decodeMilliseconds = scale * outputTokens * decodeMillisecondsPerToken * (1 + utilization);
        queue.schedule(prefillMilliseconds, () => this.#reportFirstToken(job));
        queue.schedule(prefillMilliseconds + decodeMilliseconds, () => this.#end(job));
    }

    #reportFirstToken(job: Job): void {
        if (job.isDone) {
            return;
        }
        const waiting = this.options.reportsNoLoad ? 0 : this.#waiting.length;
        const running = this.options.reportsNoLoad ? 0 : this.#running.size;
        job.callbacks.onFirstToken(`${running}/${waiting}/${this.options.capacity}`);
    }

    #end(job: Job): void {
        if (job.isDone) {
            return;
        }
        job.isDone = true;
        this.#running.delete(job);
        job.callbacks.onEnd("ok");
        this.#startNext();
    }

    #store(blocks: readonly string[]): void {
        for (const block of blocks) {
            if (!this.#cache.delete(block)) {
                this.#cacheEvents.push({ kind: "stored", block });
            }
            this.#cache.add(block);
        }
        for (const block of this.#cache) {
            if (this.#cache.size <= this.options.cacheBlocks) {
                return;
            }
            this.#cache.delete(block);
            this.#cacheEvents.push({ kind: "removed", block });
        }
    }
}
