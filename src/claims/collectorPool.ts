/**
 * The collectors that run on this node: those of its own partitions, and those that it had to stand in for.
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
    /** Tells whether this node is the collector of a partition. */
    readonly isDesignated: (partition: number) => boolean;
    readonly createCollector: (partition: number) => Collector;
}

/** How an operation ended at this node. */
export interface PoolDecision {
    readonly id: string;
    readonly decision?: ClaimDecision;
    /** When there is no decision: whether the operation may stand in the log. */
    readonly mayHaveTakenEffect: boolean;
}

/** Starts collectors when they are needed and stops those that are not needed any more. */
export class CollectorPool {
    readonly #options: CollectorPoolOptions;
    readonly #collectors = new Map<number, Collector>();
    #timer: NodeJS.Timeout | undefined;
    #isStopped = false;

    constructor(options: CollectorPoolOptions) {
        this.#options = options;
    }

    /** Begins to run this node's collectors, and to follow changes of who collects what. */
    start(): void {
        this.#isStopped = false;
        this.#reassign();
        this.#timer ??= setInterval(() => this.#reassign(), reassignIntervalMilliseconds);
        this.#timer.unref();
    }

    /** Stops all collectors. Operations that come later are not decided here any more. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        clearInterval(this.#timer);
        await Promise.all([...this.#collectors.values()].map(collector => collector.stop()));
        this.#collectors.clear();
    }

    /**
     * Returns the collector of a partition, started if need be.
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
     * Decides operations of one partition. Answers a peer's call too.
     * @param partition - The partition.
     * @param operations - The operations.
     */
    async decide(partition: number, operations: readonly ClaimOperation[]): Promise<readonly PoolDecision[]> {
        // A peer's call comes from another process: a partition that does not exist must not start a collector. Nor must a release
        // that is still repeated while the node stops: nobody would stop that collector, and the process would never end.
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
