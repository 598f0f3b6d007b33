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
/** Members of the subset that may be exchanged for other runners of the own failure domain. */
const exchangedSize = 4;

interface RankedRunners {
    /** All runners in this node's order: own failure domain first, then by rank. */
    readonly ranked: readonly RegisteredUpstream[];
    readonly byId: ReadonlyMap<string, RegisteredUpstream>;
    /** Number of runners in this node's failure domain. */
    readonly near: number;
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
     * Returns the runners to choose from: the subset of this node, and some others.
     * @param runners - All runners. Results are cached by array identity, so a changed list must be a new array.
     * @param others - Identifiers of the others, such as the runners that may have the prompt in their cache.
     * @param usable - Those of the runners that may be chosen now. The next ones in the node's order replace the others.
     * @param drawn - A random number from 0 to 1, by which the last members of the subset are exchanged for others of the own failure
     * domain. Fixed subsets contain some runners more often than others, and no choice by load evens that out. Undefined for the
     * fixed subset.
     */
    selectCandidates(
        runners: readonly RegisteredUpstream[],
        others: readonly string[],
        usable: readonly RegisteredUpstream[] = runners,
        drawn?: number,
    ): readonly RegisteredUpstream[] {
        if (usable.length <= subsetSize) {
            return usable;
        }
        const { ranked, byId, near } = this.#getRankedRunners(runners);
        const usableSet = usable === runners ? undefined : new Set(usable);
        const selected = usableSet === undefined ? ranked.slice(0, subsetSize) : selectUsable(ranked, usableSet);
        if (drawn !== undefined) {
            const nearRunners = ranked.slice(0, near);
            exchange(
                selected,
                usableSet === undefined ? nearRunners : nearRunners.filter(one => usableSet.has(one)),
                drawn,
            );
        }
        const subset = new Set(selected);
        for (const other of others) {
            const upstream = byId.get(other);
            if (upstream !== undefined && !subset.has(upstream)) {
                selected.push(upstream);
            }
        }
        return selected;
    }

    #getRankedRunners(runners: readonly RegisteredUpstream[]): RankedRunners {
        let rankedRunners = this.#rankedRunners.get(runners);
        if (rankedRunners === undefined) {
            rankedRunners = {
                ranked: this.#rank(runners),
                byId: new Map(runners.map(upstream => [upstream.id, upstream])),
                near: runners.filter(({ failureDomain }) => failureDomain === this.#failureDomain).length,
            };
            this.#rankedRunners.set(runners, rankedRunners);
        }
        return rankedRunners;
    }

    #rank(runners: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] {
        const ranked = runners.map(upstream => ({
            upstream,
            isNear: upstream.failureDomain === this.#failureDomain,
            rank: this.#getRank(upstream.id),
        }));
        ranked.sort((first, second) => Number(second.isNear) - Number(first.isNear) || second.rank - first.rank);
        return ranked.map(({ upstream }) => upstream);
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

/**
 * Replaces the last members of a subset by as many of the usable runners in the failure domain, one after the other from a random one
 * on, if there are more of them than the subset has.
 */
function exchange(subset: RegisteredUpstream[], nearRunners: readonly RegisteredUpstream[], drawn: number): void {
    if (nearRunners.length <= subsetSize) {
        return;
    }
    const kept = subsetSize - exchangedSize;
    const others = nearRunners.length - kept;
    const first = Math.floor(drawn * others);
    for (let index = 0; index < exchangedSize; index += 1) {
        subset[kept + index] = nearRunners[kept + (first + index) % others];
    }
}

function selectUsable(
    ranked: readonly RegisteredUpstream[],
    usableSet: ReadonlySet<RegisteredUpstream>,
): RegisteredUpstream[] {
    const selected: RegisteredUpstream[] = [];
    for (const upstream of ranked) {
        if (!usableSet.has(upstream)) {
            continue;
        }
        selected.push(upstream);
        if (selected.length === subsetSize) {
            break;
        }
    }
    return selected;
}
