/**
 * Runners of each version and pool, and the subset of them that this entry uses.
 *
 * If all of 350 entries used all of 2,100 runners, they would hold 735,000 connections, and each entry would have too few recent
 * measurements of each runner. Each entry therefore uses only the first few by rendezvous rank. At most half of them are in its own
 * failure domain, as long as there are enough others, so that the entry keeps the other half when the domain fails.
 */
import type { PlacementOptions } from "./options.js";
import type { Runner } from "./runner.js";

/** Represents the runners that can serve a kind of request. */
export interface CandidateList {
    /** The entry's subset in its region. */
    readonly near: readonly Runner[];
    /** The entry's subset in other regions. */
    readonly far: readonly Runner[];
    /** All runners, for when the subsets have no eligible one. */
    readonly all: readonly Runner[];
}

interface Group {
    /** Sorted by rank, highest first. */
    readonly runners: Runner[];
    /** Cached result; undefined after a change until it is requested again. */
    list: CandidateList | undefined;
}

const emptyList: CandidateList = { near: [], far: [], all: [] };

/** Index of runners by version and by pool. */
export class RunnerIndex {
    readonly #options: PlacementOptions;
    readonly #ownDomain: string;
    readonly #groups = new Map<string, Group>();
    #entries = 1;

    constructor(ownDomain: string, options: PlacementOptions) {
        this.#ownDomain = ownDomain;
        this.#options = options;
    }

    /**
     * Sets the number of entries that share the runners of the region. If few entries had small subsets, some runners would get no
     * requests and others twice as many.
     */
    setEntries(entries: number): void {
        if (entries === this.#entries) {
            return;
        }
        this.#entries = Math.max(1, entries);
        for (const group of this.#groups.values()) {
            group.list = undefined;
        }
    }

    /** Returns the runners of a version, of a pool, or of a version within a pool. */
    get(version: string | undefined, pool: string | undefined): CandidateList {
        const group = this.#groups.get(getKey(version, pool));
        return group === undefined ? emptyList : this.#getList(group);
    }

    /** Returns the near and far runners of all lists, without duplicates. */
    getSubset(): ReadonlySet<Runner> {
        const subset = new Set<Runner>();
        for (const group of this.#groups.values()) {
            const list = this.#getList(group);
            for (const runner of [...list.near, ...list.far]) {
                subset.add(runner);
            }
        }
        return subset;
    }

    /** Adds a runner under its pool and versions. */
    add(runner: Runner): void {
        for (const key of getKeys(runner)) {
            this.#addTo(key, runner);
        }
    }

    /** Removes a runner. Must be called before the runner's pool or versions change, and `add` afterwards. */
    remove(runner: Runner): void {
        for (const key of getKeys(runner)) {
            this.#removeFrom(key, runner);
        }
    }

    #addTo(key: string, runner: Runner): void {
        const group = this.#groups.get(key) ?? { runners: [], list: undefined };
        this.#groups.set(key, group);
        const index = findInsertionIndex(group.runners, runner.rank);
        if (group.runners[index] === runner) {
            return;
        }
        group.runners.splice(index, 0, runner);
        group.list = undefined;
    }

    #removeFrom(key: string, runner: Runner): void {
        const group = this.#groups.get(key);
        const index = group?.runners.indexOf(runner) ?? -1;
        if (group === undefined || index < 0) {
            return;
        }
        group.runners.splice(index, 1);
        group.list = undefined;
        if (group.runners.length === 0) {
            this.#groups.delete(key);
        }
    }

    #getList(group: Group): CandidateList {
        group.list ??= this.#createList(group.runners);
        return group.list;
    }

    #createList(all: readonly Runner[]): CandidateList {
        const near = all.filter(runner => runner.isNear);
        const far = all.filter(runner => !runner.isNear);
        return { near: this.#pickNear(near), far: far.slice(0, this.#options.farSubsetSize), all };
    }

    #pickNear(near: readonly Runner[]): readonly Runner[] {
        const { nearSubsetSize, entriesPerRunner } = this.#options;
        const size = Math.max(nearSubsetSize, Math.ceil(entriesPerRunner * near.length / this.#entries));
        if (near.length <= size) {
            return near;
        }
        const own = near.filter(runner => runner.vm.failureDomain === this.#ownDomain);
        const others = near.filter(runner => runner.vm.failureDomain !== this.#ownDomain);
        const ownCount = Math.max(Math.floor(size / 2), size - others.length);
        const picked = own.slice(0, ownCount);
        return [...picked, ...others.slice(0, size - picked.length)];
    }
}

/** Returns the first index whose rank is not greater than the given one, by binary search. */
function findInsertionIndex(runners: readonly Runner[], rank: number): number {
    let low = 0;
    let high = runners.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (runners[middle].rank > rank) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
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
