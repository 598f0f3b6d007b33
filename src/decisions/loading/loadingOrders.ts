/**
 * Next orders to a pool's engines. They bring the engines closer to the placement without unloading a version before its replacement
 * is reported ready.
 */
import { type LoadingRequest, type LoadingRunner, minFailureDomains } from "./loading.js";
import { placeVersions, type VersionPlacement } from "./versionPlacement.js";

/**
 * A version evicts others only while it is ready on less than this share of its runners. Without the gap, two versions could evict
 * each other in turns.
 */
const evictionShare = 0.75;

/** Represents an order to a runner: the versions that it is to have loaded. */
export interface LoadingOrder {
    readonly runner: string;
    readonly versions: readonly string[];
    /** The version that the runner starts or continues to load with this order. */
    readonly loadingVersion: string | undefined;
}

/** Result of a loading decision for a pool. */
export interface LoadingDecision {
    readonly placement: VersionPlacement;
    /** Orders for the runners whose loaded versions differ from the desired ones. */
    readonly orders: readonly LoadingOrder[];
    /** Number of loads that the placement still requires, including those ordered now. */
    readonly missing: number;
    /** Versions that have no runner in the placement, for lack of capacity. */
    readonly unplaced: readonly string[];
}

/**
 * Decides the next orders of a pool.
 * @param request - The input of the decision.
 */
export function decideLoading(request: LoadingRequest): LoadingDecision {
    const placement = placeVersions(request);
    const unplaced = request.placed.filter(({ id }) => (placement.get(id)?.size ?? 0) === 0);
    return { ...new LoadingPlanner(request, placement).decide(), placement, unplaced: unplaced.map(({ id }) => id) };
}

interface MissingLoad {
    readonly runner: LoadingRunner;
    readonly version: string;
    readonly isInProgress: boolean;
    /** Rank of the load; the lowest is the most urgent. */
    readonly rank: number;
}

/** Plans one step from the reported state of the runners towards the placement. */
class LoadingPlanner {
    readonly #request: LoadingRequest;
    readonly #placement: VersionPlacement;
    /** Number of runners by version and failure domain that report the version and are not ordered to unload it. */
    readonly #ready = new Map<string, Map<string, number>>();
    readonly #desiredVersions = new Map<string, Set<string>>();
    /** Number of failure domains of each placed version's placement. */
    readonly #placedDomainCounts: ReadonlyMap<string, number>;

    constructor(request: LoadingRequest, placement: VersionPlacement) {
        this.#request = request;
        this.#placement = placement;
        this.#placedDomainCounts = countDomains(request.runners, placement);
        for (const runner of request.runners) {
            this.#desiredVersions.set(
                runner.id,
                new Set(runner.versions.filter(version => this.#shouldStayLoaded(runner, version))),
            );
            for (const version of runner.versions) {
                this.#addReady(version, runner.failureDomain, 1);
            }
        }
    }

    decide(): Pick<LoadingDecision, "orders" | "missing"> {
        const loads = this.#listLoads();
        const scheduled = new Map<string, string>();
        for (const { runner, version } of loads) {
            if (scheduled.size >= this.#request.loadsAtATime) {
                break;
            }
            if (!scheduled.has(runner.id) && this.#evictUntilFits(runner, version)) {
                scheduled.set(runner.id, version);
                this.#desiredVersions.get(runner.id)?.add(version);
            }
        }
        const orders: LoadingOrder[] = [];
        for (const { id, versions } of this.#request.runners) {
            const desired = this.#desiredVersions.get(id) ?? new Set<string>();
            if (desired.size !== versions.length || versions.some(version => !desired.has(version))) {
                orders.push({ runner: id, versions: [...desired].sort(), loadingVersion: scheduled.get(id) });
            }
        }
        return { orders, missing: loads.length };
    }

    #shouldStayLoaded(runner: LoadingRunner, version: string): boolean {
        if (this.#placement.has(version) || this.#request.evictable.has(version)) {
            return true;
        }
        return this.#request.retiring.has(version) && !runner.isIdle;
    }

    /** Returns the missing loads: those in progress first, then by rank. */
    #listLoads(): readonly MissingLoad[] {
        const loads: MissingLoad[] = [];
        for (const runner of this.#request.runners) {
            if (runner.isStalled) {
                continue;
            }
            for (const [version, holders] of this.#placement) {
                if (holders.has(runner.id) && !runner.versions.includes(version)) {
                    const isInProgress = runner.loading.includes(version);
                    loads.push({ runner, version, isInProgress, rank: this.#getRank(version, runner.failureDomain) });
                }
            }
        }
        return loads.sort((left, right) =>
            Number(right.isInProgress) - Number(left.isInProgress) || left.rank - right.rank
        );
    }

    /** Ranks a load: the first copy of a version comes first, then the first in a second failure domain, then the remaining copies. */
    #getRank(version: string, failureDomain: string): number {
        const domains = this.#ready.get(version) ?? new Map<string, number>();
        if (domains.size < minFailureDomains) {
            return domains.has(failureDomain) ? 1 : domains.size / minFailureDomains;
        }
        return 1 + this.#countReady(version) / (this.#placement.get(version)?.size ?? 1);
    }

    /** Evicts versions from a runner until one more fits. Returns false when no version may be evicted yet. */
    #evictUntilFits(runner: LoadingRunner, version: string): boolean {
        const desired = this.#desiredVersions.get(runner.id) ?? new Set<string>();
        if (desired.size < this.#request.versionsPerRunner) {
            return true;
        }
        const copies = this.#placement.get(version)?.size ?? 0;
        const isSpread = (this.#ready.get(version)?.size ?? 0)
            >= Math.min(minFailureDomains, this.#placedDomainCounts.get(version) ?? 1);
        if (isSpread && this.#countReady(version) >= evictionShare * copies) {
            return false;
        }
        const evicted = this.#findEvictable(runner, desired);
        if (evicted === undefined) {
            return false;
        }
        desired.delete(evicted);
        this.#addReady(evicted, runner.failureDomain, -1);
        return desired.size < this.#request.versionsPerRunner || this.#evictUntilFits(runner, version);
    }

    /** Finds a version that may be evicted from a runner: one that is marked as evictable, or a misplaced one that is ready elsewhere. */
    #findEvictable(runner: LoadingRunner, desired: ReadonlySet<string>): string | undefined {
        for (const version of desired) {
            if (this.#request.evictable.has(version)) {
                return version;
            }
        }
        for (const version of desired) {
            const holders = this.#placement.get(version);
            if (holders !== undefined && !holders.has(runner.id) && this.#isReadyWithout(version, runner)) {
                return version;
            }
        }
        return undefined;
    }

    /**
     * Returns whether a version is ready on enough other runners. If it were unloaded before, its callers would be refused until the
     * replacement has loaded, which may take minutes, or hours when the weight store is unavailable.
     */
    #isReadyWithout(version: string, runner: LoadingRunner): boolean {
        const domains = new Map(this.#ready.get(version));
        domains.set(runner.failureDomain, (domains.get(runner.failureDomain) ?? 0) - 1);
        const remainingDomains = [...domains.values()].filter(count => count > 0).length;
        return remainingDomains > 0
            && remainingDomains >= Math.min(minFailureDomains, this.#placedDomainCounts.get(version) ?? 1);
    }

    #countReady(version: string): number {
        let count = 0;
        for (const domainCount of this.#ready.get(version)?.values() ?? []) {
            count += domainCount;
        }
        return count;
    }

    #addReady(version: string, failureDomain: string, change: number): void {
        const domains = this.#ready.get(version) ?? new Map<string, number>();
        const count = (domains.get(failureDomain) ?? 0) + change;
        if (count > 0) {
            domains.set(failureDomain, count);
        }
        else {
            domains.delete(failureDomain);
        }
        this.#ready.set(version, domains);
    }
}

function countDomains(
    runners: readonly LoadingRunner[],
    placement: VersionPlacement,
): ReadonlyMap<string, number> {
    const domains = new Map(runners.map(({ id, failureDomain }) => [id, failureDomain]));
    const counts = new Map<string, number>();
    for (const [version, holders] of placement) {
        counts.set(version, new Set(Array.from(holders, id => domains.get(id))).size);
    }
    return counts;
}
