/**
 * The collectors that run on this node: those of its own partitions, and those that it runs as a fallback.
 */
import type { Clock } from "../common/index.js";
import type { ClaimDecision, ClaimOperation } from "./claimOperation.js";
import type { Collector } from "./collector.js";

const reassignIntervalMilliseconds = 2_000;
const idleTimeoutMilliseconds = 60_000;

/** Options of a pool. */
export interface CollectorPoolOptions {
    readonly partitions: number;
    readonly clock: Clock;
    /** Returns whether this node is the collector of a partition. */
    readonly isDesignated: (partition: number) => boolean;
    readonly createCollector: (partition: number) => Collector;
}

/** The decision on an operation by this node. */
export interface PoolDecision {
    readonly id: string;
    readonly decision?: ClaimDecision;
    /** Without a decision: whether the operation may be in the log. */
    readonly mayHaveTakenEffect: boolean;
}

/** Starts collectors when they are needed, and stops those that are no longer needed. */
export class CollectorPool {
    readonly #options: CollectorPoolOptions;
    readonly #collectors = new Map<number, Collector>();
    #timer: NodeJS.Timeout | undefined;
    #isStopped = false;

    constructor(options: CollectorPoolOptions) {
        this.#options = options;
    }

    /** Starts the collectors of this node, and follows changes of the assignment. */
    start(): void {
        this.#isStopped = false;
        this.#reassign();
        this.#timer ??= setInterval(() => this.#reassign(), reassignIntervalMilliseconds);
        this.#timer.unref();
    }

    /** Stops all collectors. Later operations are not decided by this node. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        clearInterval(this.#timer);
        await Promise.all([...this.#collectors.values()].map(collector => collector.stop()));
        this.#collectors.clear();
    }

    /**
     * Returns the collector of a partition, and starts it if necessary.
     * @param partition - The partition.
     */
    get(partition: number): Collector {
        let collector = this.#collectors.get(partition);
        if (collector === undefined) {
            collector = this.#options.createCollector(partition);
            this.#collectors.set(partition, collector);
            collector.start();
        }
        return collector;
    }

    /**
     * Decides operations of one partition, for this node or for a peer.
     * @param partition - The partition.
     * @param operations - The operations.
     */
    async decide(partition: number, operations: readonly ClaimOperation[]): Promise<readonly PoolDecision[]> {
        // A call from a peer must not start a collector for a partition that does not exist. Neither must a release
        // that is retried while the node stops: nothing would stop that collector, and the process would never exit.
        if (this.#isStopped || !Number.isInteger(partition) || partition < 0 || partition >= this.#options.partitions) {
            return operations.map(({ id }) => ({ id, mayHaveTakenEffect: false }));
        }
        const collector = this.get(partition);
        return Promise.all(operations.map(async operation => {
            const result = await collector.decide(operation);
            return result.match<PoolDecision>(
                decision => ({ id: operation.id, decision, mayHaveTakenEffect: true }),
                failure => ({ id: operation.id, mayHaveTakenEffect: failure.mayHaveTakenEffect }),
            );
        }));
    }

    #reassign(): void {
        for (let partition = 0; partition < this.#options.partitions; partition += 1) {
            if (this.#options.isDesignated(partition)) {
                this.get(partition);
            }
        }
        for (const [partition, collector] of this.#collectors) {
            if (!this.#options.isDesignated(partition) && collector.getIdleTime() > idleTimeoutMilliseconds) {
                this.#collectors.delete(partition);
                void collector.stop();
            }
        }
    }
}
