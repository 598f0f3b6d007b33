/**
 * Which of a pool's runners a node chooses among.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";
import { getRank } from "../placement/rendezvous.js";

/**
 * A node chooses among so many runners of its own, besides those that are likely to hold the prompt's parts. Of hundreds of
 * runners it would hear of each one only now and then, and choose blindly; those few it knows well.
 */
const subsetSize = 12;

interface RankedRunners {
    /** The nearest runners by this node's own rank. */
    readonly subset: readonly RegisteredUpstream[];
    readonly byId: ReadonlyMap<string, RegisteredUpstream>;
}

/**
 * Selects runners by ranks that do not change. A list of runners is ranked once: ranking a hundred runners for each request takes
 * longer than the rest of the choice.
 */
export class RunnerSubsets {
    readonly #self: string;
    readonly #failureDomain: string;
    readonly #ranks = new Map<string, number>();
    readonly #rankedRunners = new WeakMap<readonly RegisteredUpstream[], RankedRunners>();

    /** @param options - The node that chooses. */
    constructor(options: { readonly self: string; readonly failureDomain: string; }) {
        this.#self = options.self;
        this.#failureDomain = options.failureDomain;
    }

    /**
     * Forgets a runner.
     * @param id - Its identifier.
     */
    forget(id: string): void {
        this.#ranks.delete(id);
    }

    /**
     * Returns the runners to choose among: the nearest ones by this node's own rank, and those that may hold the prompt.
     * @param runners - All runners; a list that changes is another list.
     * @param holders - Identifiers of those that may hold the prompt.
     */
    selectCandidates(
        runners: readonly RegisteredUpstream[],
        holders: readonly string[],
    ): readonly RegisteredUpstream[] {
        if (runners.length <= subsetSize) {
            return runners;
        }
        const { subset, byId } = this.#getRankedRunners(runners);
        const selected = [...subset];
        for (const holder of holders) {
            const upstream = byId.get(holder);
            if (upstream !== undefined && !subset.includes(upstream)) {
                selected.push(upstream);
            }
        }
        return selected;
    }

    #getRankedRunners(runners: readonly RegisteredUpstream[]): RankedRunners {
        let rankedRunners = this.#rankedRunners.get(runners);
        if (rankedRunners === undefined) {
            rankedRunners = {
                subset: this.#selectSubset(runners),
                byId: new Map(runners.map(upstream => [upstream.id, upstream])),
            };
            this.#rankedRunners.set(runners, rankedRunners);
        }
        return rankedRunners;
    }

    #selectSubset(runners: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] {
        const ranked = runners.map(upstream => ({
            upstream,
            isNear: upstream.failureDomain === this.#failureDomain,
            rank: this.#getRank(upstream.id),
        }));
        ranked.sort((first, second) => Number(second.isNear) - Number(first.isNear) || second.rank - first.rank);
        return ranked.slice(0, subsetSize).map(({ upstream }) => upstream);
    }

    #getRank(id: string): number {
        let rank = this.#ranks.get(id);
        if (rank === undefined) {
            rank = getRank(this.#self, id);
            this.#ranks.set(id, rank);
        }
        return rank;
    }
}
