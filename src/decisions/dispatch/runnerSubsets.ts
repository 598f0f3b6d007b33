/**
 * Subset of a pool's runners that a node chooses from.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";
import { getRank } from "../placement/rendezvous.js";

/**
 * Runners in the subset of a node, besides those that are likely to have the shared parts of a prompt in their cache. With hundreds of
 * runners, a node would receive a load report of each one only rarely and choose by outdated loads; its reports on a few are recent.
 */
const subsetSize = 12;

interface RankedRunners {
    /** First runners in this node's order: own failure domain first, then by rank. */
    readonly subset: readonly RegisteredUpstream[];
    readonly byId: ReadonlyMap<string, RegisteredUpstream>;
}

/**
 * Selects runners by ranks that do not change. The result for a list of runners is cached, since ranking a hundred runners for each
 * request takes longer than the rest of the selection.
 */
export class RunnerSubsets {
    readonly #self: string;
    readonly #failureDomain: string;
    readonly #ranks = new Map<string, number>();
    readonly #rankedRunners = new WeakMap<readonly RegisteredUpstream[], RankedRunners>();

    /** @param options - Identifier and failure domain of the node that chooses. */
    constructor(options: { readonly self: string; readonly failureDomain: string; }) {
        this.#self = options.self;
        this.#failureDomain = options.failureDomain;
    }

    /**
     * Removes the cached rank of a runner.
     * @param id - Identifier of the runner.
     */
    remove(id: string): void {
        this.#ranks.delete(id);
    }

    /**
     * Returns the runners to choose from: the subset of this node, and the runners that may have the prompt in their cache.
     * @param runners - All runners. Results are cached by array identity, so a changed list must be a new array.
     * @param holders - Identifiers of the runners that may have the prompt in their cache.
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
