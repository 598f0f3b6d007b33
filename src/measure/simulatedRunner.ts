/**
 * A small model of a model runner: continuous batching, a prefix cache in limited memory, a queue of its own, and load
 * reports. It is just enough to give the decisions something to decide about.
 */
import type { LoadReport, Vm } from "../world/index.js";
import type { EventQueue } from "./eventQueue.js";

const tokensPerBlock = 128;
const fixedTokens = 64;
const connectionFailureMilliseconds = 3;

/** What a request asks of a runner. */
export interface SimulatedRequest {
    readonly blocks: readonly string[];
    readonly outputTokens: number;
    readonly priority: number;
}

/** What a runner tells of a request. */
export interface AnswerCallbacks {
    readonly onFirstToken: (loadHeader: string) => void;
    readonly onEnd: (outcome: "ok" | "failed" | "refused") => void;
}

/** Properties of a runner. */
export interface SimulatedRunnerOptions {
    readonly vm: Vm;
    readonly queue: EventQueue;
    readonly version: string;
    /** Requests at a time. */
    readonly capacity: number;
    /** How much slower than usual it is; 2 takes twice the time. */
    readonly slowness: number;
    /** Whether it always reports that it has nothing to do. */
    readonly reportsNoLoad: boolean;
    /** Blocks that its prefix cache holds. */
    readonly cacheBlocks: number;
    readonly prefillMillisecondsPerToken: number;
    readonly decodeMillisecondsPerToken: number;
}

interface Job {
    readonly request: SimulatedRequest;
    readonly answer: AnswerCallbacks;
    isDone: boolean;
}

/** How a runner fails. `crashed` breaks connections at once, `silent` never answers. */
export type RunnerFault = "none" | "crashed" | "silent";

/** Returns how long a request holds a place of a full runner that has none of its prompt cached. */
export function getFullLoadServiceTime(options: SimulatedRunnerOptions, blocks: number, outputTokens: number): number {
    const prefillMilliseconds = (fixedTokens + blocks * tokensPerBlock) * options.prefillMillisecondsPerToken * 1.5;
    return options.slowness * (prefillMilliseconds + outputTokens * options.decodeMillisecondsPerToken * 2);
}

/** A modelled runner. */
export class SimulatedRunner {
    readonly options: SimulatedRunnerOptions;
    /** Multiplies all its times; raised in a brown-out. */
    slowdown = 1;
    readonly #running = new Set<Job>();
    #waiting: Job[] = [];
    #fault: RunnerFault = "none";
    /** The cached blocks, the one used longest ago first. */
    readonly #cache = new Set<string>();
    #cacheEvents: { readonly kind: "stored" | "removed"; readonly block: string; }[] = [];

    constructor(options: SimulatedRunnerOptions) {
        this.options = options;
    }

    /** Returns the requests that it has. */
    getLoad(): number {
        return this.#running.size + this.#waiting.length;
    }

    /** Returns how many of the blocks it has cached, from the first one on. */
    getCachedBlocks(blocks: readonly string[]): number {
        let count = 0;
        while (count < blocks.length && this.#cache.has(blocks[count])) {
            count += 1;
        }
        return count;
    }

    /** Takes a request. */
    start(request: SimulatedRequest, answer: AnswerCallbacks): void {
        const { queue, capacity } = this.options;
        if (this.#fault === "crashed") {
            queue.schedule(connectionFailureMilliseconds, () => answer.onEnd("failed"));
            return;
        }
        if (this.#waiting.length >= 2 * capacity) {
            queue.schedule(1, () => answer.onEnd("refused"));
            return;
        }
        this.#waiting.push({ request, answer, isDone: false });
        this.#startNext();
    }

    /** Makes it fail, or work again with an empty cache. */
    setFault(fault: RunnerFault): void {
        this.#fault = fault;
        const interruptedJobs = [...this.#running, ...this.#waiting];
        this.#running.clear();
        this.#waiting = [];
        this.#cache.clear();
        for (const job of interruptedJobs) {
            job.isDone = true;
            if (fault === "crashed") {
                job.answer.onEnd("failed");
            }
        }
    }

    /** Returns its load as it would report it now, or nothing when it does not answer. */
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

    /** Returns the changes of its cache since the last call. */
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
        job.answer.onFirstToken(`${running}/${waiting}/${this.options.capacity}`);
    }

    #end(job: Job): void {
        if (job.isDone) {
            return;
        }
        job.isDone = true;
        this.#running.delete(job);
        job.answer.onEnd("ok");
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
