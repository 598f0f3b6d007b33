/**
 * Choice of the nodes that forward requests to upstreams which this node cannot reach.
 */
import type { Clock, RandomSource } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import type { Member } from "../membership/index.js";

/** Time for which a node that could not forward a request is not asked again. */
const failurePauseMilliseconds = 1_000;
/** Nodes that forward for one other. A connection to each of hundreds would take tens of megabytes. */
const maxPeers = 4;
/** Time for which the choice of these nodes is cached, unless one of them fails. */
const cacheMilliseconds = 200;

/** Options of `RelayPeers`. */
export interface RelayPeersOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Identifier of this node. */
    readonly self: string;
    /** Returns the members that answer. */
    readonly getMembers: () => readonly Member[];
    /** Returns whether a node may reach a pool. */
    readonly reaches: (node: string, pool: string) => boolean;
}

/** Selects nodes and records the requests that they forward for this one. */
export class RelayPeers {
    readonly #options: RelayPeersOptions;
    readonly #inFlight = new Map<string, number>();
    readonly #cache = new Map<string, { readonly until: number; readonly peers: readonly Member[]; }>();
    /** Monotonic times until which nodes are not asked, by node and pool. */
    readonly #pausedUntil = new Map<string, number>();

    constructor(options: RelayPeersOptions) {
        this.#options = options;
    }

    /** Returns whether a node is known that may forward requests to a pool. */
    canReach(pool: string): boolean {
        return this.#getPeers(pool).length > 0;
    }

    /**
     * Selects a node: of two drawn at random, the one with fewer of this node's requests. The nodes that are cut off together do not
     * all choose the same one then.
     * @param pool - The pool of the upstream.
     */
    choose(pool: string): Member | undefined {
        const candidates = this.#getPeers(pool);
        if (candidates.length === 0) {
            return undefined;
        }
        const { random } = this.#options;
        const first = candidates[random.nextInteger(candidates.length)];
        const second = candidates[random.nextInteger(candidates.length)];
        return this.#countInFlight(second.id) < this.#countInFlight(first.id) ? second : first;
    }

    /**
     * Records a request that a node forwards.
     * @param node - Identifier of the node.
     * @returns A function to call when the node is done with the request; later calls do nothing.
     */
    start(node: string): () => void {
        this.#inFlight.set(node, this.#countInFlight(node) + 1);
        let isFinished = false;
        return () => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            const left = this.#countInFlight(node) - 1;
            if (left > 0) {
                this.#inFlight.set(node, left);
            }
            else {
                this.#inFlight.delete(node);
            }
        };
    }

    /** Records that a node could not forward a request to a pool. */
    pause(node: string, pool: string): void {
        const now = this.#options.clock.monotonic();
        for (const [key, until] of this.#pausedUntil) {
            if (until <= now) {
                this.#pausedUntil.delete(key);
            }
        }
        this.#pausedUntil.set(createKey(node, pool), now + failurePauseMilliseconds);
        this.#cache.delete(pool);
    }

    /** Returns the nodes that forward requests to a pool for this one: the first by a rank of each node's own. */
    #getPeers(pool: string): readonly Member[] {
        const now = this.#options.clock.monotonic();
        const known = this.#cache.get(pool);
        if (known !== undefined && now < known.until) {
            return known.peers;
        }
        const ranked = this.#getCandidates(pool, now).map(member => ({
            member,
            rank: getUnitRank(this.#options.self, member.id),
        }));
        ranked.sort((first, second) => second.rank - first.rank);
        const peers = ranked.slice(0, maxPeers).map(({ member }) => member);
        this.#cache.set(pool, { until: now + cacheMilliseconds, peers });
        return peers;
    }

    #getCandidates(pool: string, now: number): readonly Member[] {
        const { self, getMembers, reaches } = this.#options;
        return getMembers().filter(({ id, state }) =>
            id !== self
            && state === "alive"
            && reaches(id, pool)
            && now >= (this.#pausedUntil.get(createKey(id, pool)) ?? Number.NEGATIVE_INFINITY)
        );
    }

    #countInFlight(node: string): number {
        return this.#inFlight.get(node) ?? 0;
    }
}

function createKey(node: string, pool: string): string {
    return `${node} ${pool}`;
}
