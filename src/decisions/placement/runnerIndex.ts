/**
 * The runners of each version and pool, and the subset of them that this entry talks to.
 *
 * 350 entries that all talked to all 2,100 runners would hold 735,000 connections and spread each entry's knowledge
 * too thin to be of use. Each entry therefore keeps to the first few by rendezvous rank, with the runners of its own
 * failure domain no more than half, so that losing the domain leaves the entry its other half.
 */
import type { PlacementOptions } from "./options.js";
import type { Runner } from "./runner.js";

/** Runners that can take a kind of request. */
export interface CandidateList {
    /** The entry's subset in its region. */
    readonly near: readonly Runner[];
    /** The entry's subset in other regions. */
    readonly far: readonly Runner[];
    /** Every runner, for when the subsets have none left. */
    readonly all: readonly Runner[];
}

const emptyList: CandidateList = { near: [], far: [], all: [] };

/** Index of runners by version and by pool. */
export class RunnerIndex {
    readonly #options: PlacementOptions;
    readonly #ownDomain: string;
    #lists = new Map<string, CandidateList>();

    constructor(ownDomain: string, options: PlacementOptions) {
        this.#ownDomain = ownDomain;
        this.#options = options;
    }

    /** Returns the runners of a version, of a pool, or of a version within a pool. */
    get(version: string | undefined, pool: string | undefined): CandidateList {
        return this.#lists.get(getKey(version, pool)) ?? emptyList;
    }

    /** Returns all lists' near and far runners, each once. */
    getSubset(): ReadonlySet<Runner> {
        const subset = new Set<Runner>();
        for (const list of this.#lists.values()) {
            for (const runner of list.near) {
                subset.add(runner);
            }
            for (const runner of list.far) {
                subset.add(runner);
            }
        }
        return subset;
    }

    /** Builds the index anew; called when a runner comes, leaves, or loads another version. */
    rebuild(runners: Iterable<Runner>): void {
        const groups = new Map<string, Runner[]>();
        for (const runner of runners) {
            if (runner.isLeaving) {
                continue;
            }
            for (const key of getKeys(runner)) {
                const group = groups.get(key);
                if (group === undefined) {
                    groups.set(key, [runner]);
                }
                else {
                    group.push(runner);
                }
            }
        }
        const lists = new Map<string, CandidateList>();
        for (const [key, group] of groups) {
            lists.set(key, this.#createList(group));
        }
        this.#lists = lists;
    }

    #createList(group: Runner[]): CandidateList {
        group.sort((left, right) => right.rank - left.rank);
        const near = group.filter(runner => runner.isNear);
        const far = group.filter(runner => !runner.isNear);
        return { near: this.#pickNear(near), far: far.slice(0, this.#options.farSubsetSize), all: group };
    }

    #pickNear(near: readonly Runner[]): readonly Runner[] {
        const size = this.#options.nearSubsetSize;
        if (near.length <= size) {
            return near;
        }
        const own = near.filter(runner => runner.vm.failureDomain === this.#ownDomain).slice(0, size / 2);
        const others = near.filter(runner => runner.vm.failureDomain !== this.#ownDomain);
        return [...own, ...others.slice(0, size - own.length)];
    }
}

function getKey(version: string | undefined, pool: string | undefined): string {
    return `${version ?? ""}\n${pool ?? ""}`;
}

function getKeys(runner: Runner): readonly string[] {
    const keys = [getKey(undefined, runner.vm.pool)];
    for (const version of runner.versions ?? []) {
        keys.push(getKey(version, undefined), getKey(version, runner.vm.pool));
    }
    return keys;
}
