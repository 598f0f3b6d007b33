/**
 * Tracks which pools of upstreams this node can connect to.
 *
 * A node may lose the paths to all upstreams of a pool while callers and the other nodes still reach it. Each upstream then looks
 * as if it had failed by itself. Only the attempts to connect to several of them, together, show that the node is at fault.
 */
import { type Clock, type RandomSource, RepeatedTask } from "../common/index.js";
import { events, type Journal } from "../events/index.js";

/** An upstream as far as its reachability is concerned. */
export interface ReachableUpstream {
    readonly id: string;
    /** `HOST:PORT`. */
    readonly address: string;
}

/** Upstreams that are probed at once. */
const probesPerCheck = 3;
/**
 * Further upstreams that are probed before a pool counts as unreachable. All must fail, as well as the first. When many upstreams of
 * a pool have crashed, the first few often fail at all nodes.
 */
const confirmingProbes = 9;
/** Connections that must be accepted, in rounds without a round of failures, for an unreachable pool to count as reachable again. */
const minAccepted = 2;
const tickMilliseconds = 250;
/** A pool is checked when calls to it wait and it has sent nothing for this time, or when all pools are silent and idle. */
const silenceMilliseconds = 1_000;
/** Minimum time between two checks of a reachable pool. */
const checkPauseMilliseconds = 200;

/** Options of `Reachability`. */
export interface ReachabilityOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly journal: Journal;
    /** Returns the names of all pools. */
    readonly getPools: () => Iterable<string>;
    /** Returns the upstreams of a pool that accept requests. */
    readonly getUpstreams: (pool: string) => readonly ReachableUpstream[];
    /** Opens a connection and closes it again. Returns whether it was opened. */
    readonly probe: (address: string) => Promise<boolean>;
}

/** State of one pool. */
interface PoolState {
    isUnreachable: boolean;
    /** Monotonic time at which data or a connection was last received from one of its upstreams. */
    seenAt: number;
    /** Calls whose answers have not started. */
    waiting: number;
    /** Monotonic time at which the last check ended. */
    checkedAt: number;
    check: Promise<boolean> | undefined;
    /** Connections that were accepted since the last check in which none was. */
    accepted: number;
}

/** Knows the reachable pools from the results of connections and from probes. */
export class Reachability {
    readonly #options: ReachabilityOptions;
    readonly #states = new Map<string, PoolState>();
    readonly #listeners: ((pool: string) => void)[] = [];
    readonly #task: RepeatedTask;

    constructor(options: ReachabilityOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({ run: () => this.tick(), pauseMilliseconds: tickMilliseconds });
    }

    /** Starts to check pools that are silent or unreachable. */
    start(): void {
        this.#task.start();
    }

    /** Stops checking. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Adds a listener for pools that have become unreachable, or reachable again.
     * @param listener - Called with the pool's name.
     */
    onChange(listener: (pool: string) => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Returns whether this node can connect to none of a pool's upstreams.
     * @param pool - Name of the pool.
     */
    isUnreachable(pool: string): boolean {
        return this.#states.get(pool)?.isUnreachable === true;
    }

    /** Returns the names of the unreachable pools. */
    getUnreachable(): readonly string[] {
        return [...this.#states].filter(([, state]) => state.isUnreachable).map(([pool]) => pool);
    }

    /** Returns whether this node can connect to no upstream at all. */
    isCutOff(): boolean {
        const pools = this.#getUsedPools();
        return pools.length > 0 && pools.every(pool => this.isUnreachable(pool));
    }

    /**
     * Records that a call was sent to a pool.
     * @returns A function to call once when the answer starts or the call ends.
     */
    startCall(pool: string): () => void {
        const state = this.#getState(pool);
        if (state.waiting === 0) {
            // The pool owed nothing before, so its silence starts now.
            state.seenAt = Math.max(state.seenAt, this.#options.clock.monotonic());
        }
        state.waiting += 1;
        return () => {
            state.waiting -= 1;
        };
    }

    /** Records that data was received from a pool, or that a connection was opened. */
    markSeen(pool: string): void {
        this.#getState(pool).seenAt = this.#options.clock.monotonic();
    }

    /** Records that a connection to one of a pool's upstreams could not be opened, and checks the pool. */
    addConnectFailure(pool: string): void {
        const state = this.#getState(pool);
        if (!state.isUnreachable && this.#options.clock.monotonic() - state.checkedAt >= checkPauseMilliseconds) {
            void this.check(pool);
        }
    }

    /**
     * Checks a pool by connecting to some of its upstreams.
     * @param pool - Name of the pool.
     * @param excluded - Identifier of an upstream that is not probed.
     * @returns Whether the pool is reachable.
     */
    check(pool: string, excluded?: string): Promise<boolean> {
        const state = this.#getState(pool);
        state.check ??= this.#check(pool, state, excluded).finally(() => {
            state.check = undefined;
            state.checkedAt = this.#options.clock.monotonic();
        });
        return state.check;
    }

    /** Checks the pools that are unreachable, and those that have become silent. */
    tick(): void {
        const now = this.#options.clock.monotonic();
        const pools = this.#getUsedPools();
        const isSilent = (pool: string): boolean => now - this.#getState(pool).seenAt >= silenceMilliseconds;
        for (const pool of pools) {
            const state = this.#getState(pool);
            if (state.isUnreachable || state.waiting > 0 && isSilent(pool)) {
                void this.check(pool);
            }
        }
        if (pools.length > 0 && pools.every(isSilent)) {
            void this.check(pools[this.#options.random.nextInteger(pools.length)]);
        }
    }

    #getUsedPools(): readonly string[] {
        const { getPools, getUpstreams } = this.#options;
        return [...getPools()].filter(pool => getUpstreams(pool).length > 0);
    }

    async #check(pool: string, state: PoolState, excluded: string | undefined): Promise<boolean> {
        const upstreams = this.#options.getUpstreams(pool).filter(({ id }) => id !== excluded);
        if (upstreams.length === 0) {
            return !state.isUnreachable;
        }
        const chosen = this.#choose(upstreams);
        let accepting = await this.#countAccepting(chosen.slice(0, probesPerCheck));
        if (accepting === 0 && !state.isUnreachable) {
            accepting = await this.#countAccepting(chosen.slice(probesPerCheck));
        }
        if (accepting > 0) {
            this.markSeen(pool);
        }
        state.accepted = accepting > 0 ? state.accepted + accepting : 0;
        this.#set(pool, state, state.accepted < (state.isUnreachable ? minAccepted : 1));
        return !state.isUnreachable;
    }

    /** Probes upstreams and returns how many accept a connection. */
    async #countAccepting(upstreams: readonly ReachableUpstream[]): Promise<number> {
        const results = await Promise.all(upstreams.map(({ address }) => this.#options.probe(address)));
        return results.filter(isOpen => isOpen).length;
    }

    /** Chooses the upstreams to probe, at random and in the order of probing. */
    #choose(upstreams: readonly ReachableUpstream[]): readonly ReachableUpstream[] {
        const left = [...upstreams];
        const chosen: ReachableUpstream[] = [];
        while (chosen.length < probesPerCheck + confirmingProbes && left.length > 0) {
            chosen.push(...left.splice(this.#options.random.nextInteger(left.length), 1));
        }
        return chosen;
    }

    #set(pool: string, state: PoolState, isUnreachable: boolean): void {
        if (state.isUnreachable === isUnreachable) {
            return;
        }
        state.isUnreachable = isUnreachable;
        const { journal } = this.#options;
        journal.write(isUnreachable ? events.poolUnreachable : events.poolReachable, { pool });
        for (const listener of this.#listeners) {
            listener(pool);
        }
        if (isUnreachable) {
            this.#checkOthers(pool);
        }
    }

    /** Checks the other pools: what has cut off one of them has often cut off all. */
    #checkOthers(pool: string): void {
        for (const other of this.#getUsedPools()) {
            if (other !== pool && !this.isUnreachable(other)) {
                void this.check(other);
            }
        }
    }

    #getState(pool: string): PoolState {
        let state = this.#states.get(pool);
        if (state === undefined) {
            const now = this.#options.clock.monotonic();
            state = {
                isUnreachable: false,
                seenAt: now,
                waiting: 0,
                checkedAt: Number.NEGATIVE_INFINITY,
                check: undefined,
                accepted: 0,
            };
            this.#states.set(pool, state);
        }
        return state;
    }
}
