/**
 * The runners of each version and pool, and the subset of them that this entry talks to.
 *
 * 350 entries that all talked to all 2,100 runners would hold 735,000 connections and spread each entry's knowledge
 * too thin to be of use. Each entry therefore keeps to the first few by rendezvous rank, with the runners of its own
 * failure domain no more than half while others suffice, so that losing the domain leaves the entry its other half.
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

interface Group {
    /** By rank, the greatest first. */
    readonly runners: Runner[];
    /** Absent after a change, until somebody asks. */
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
     * Sets how many entries share the runners of the region. Small subsets of few entries would leave some runners
     * without anybody and load others twice.
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

    /** Returns all lists' near and far runners, each once. */
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

    /** Removes a runner. Call it before the runner's pool or versions change, and `add` after. */
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

/** Finds the first place whose rank is not greater, by halving. */
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
