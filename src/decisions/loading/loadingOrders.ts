/**
 * The next orders to a pool's engines: what brings them closer to the placement without taking a version away before
 * its replacement reports ready.
 */
import { type LoadingRequest, type LoadingRunner, minFailureDomains } from "./loading.js";
import { placeVersions, type VersionPlacement } from "./versionPlacement.js";

/** A version takes the room of others only while it has less than this part of its runners, lest the two take turns. */
const evictionShare = 0.75;

/** The state that a runner is to be ordered into. */
export interface LoadingOrder {
    readonly runner: string;
    readonly versions: readonly string[];
    /** The version that it begins to load with this order, or goes on to load. */
    readonly loadingVersion: string | undefined;
}

/** What was decided for a pool. */
export interface LoadingDecision {
    readonly placement: VersionPlacement;
    /** Orders for the runners that are not as they are wanted now. */
    readonly orders: readonly LoadingOrder[];
    /** Loads that the placement still asks for, those that are ordered now among them. */
    readonly missing: number;
    /** Versions that have no runner in the placement, since there is no room. */
    readonly unplaced: readonly string[];
}

/**
 * Decides the next orders of a pool.
 * @param request - What is to be decided.
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
    /** How urgent it is; the least first. */
    readonly rank: number;
}

/** One step from what the runners report towards the placement. */
class LoadingPlanner {
    readonly #request: LoadingRequest;
    readonly #placement: VersionPlacement;
    /** For each version and failure domain, the runners that report it and are not to unload it. */
    readonly #ready = new Map<string, Map<string, number>>();
    readonly #desiredVersions = new Map<string, Set<string>>();
    /** For each placed version, over how many failure domains its placement spreads. */
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

    /** Lists the loads that are missing: those under way first, then versions that are ready in the fewest places. */
    #listLoads(): readonly MissingLoad[] {
        const loads: MissingLoad[] = [];
        for (const runner of this.#request.runners) {
            if (runner.isStalled) {
                continue;
            }
            for (const [version, holders] of this.#placement) {
                if (holders.has(runner.id) && !runner.versions.includes(version)) {
                    const isInProgress = runner.loading.includes(version);
                    loads.push({ runner, version, isInProgress, rank: this.#rank(version, runner.failureDomain) });
                }
            }
        }
        return loads.sort((left, right) =>
            Number(right.isInProgress) - Number(left.isInProgress) || left.rank - right.rank
        );
    }

    /** A first copy comes first, then the first in a second failure domain, then those that make up the number. */
    #rank(version: string, failureDomain: string): number {
        const domains = this.#ready.get(version) ?? new Map<string, number>();
        if (domains.size < minFailureDomains) {
            return domains.has(failureDomain) ? 1 : domains.size / minFailureDomains;
        }
        return 1 + this.#countReady(version) / (this.#placement.get(version)?.size ?? 1);
    }

    /** Takes versions off a runner until one more fits; false when none may go yet. */
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

    /** Finds a version that may leave a runner: one that is merely kept, or one that is ready elsewhere. */
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
     * Tells whether a version is ready on enough other runners. Unloaded before, callers of a version that still serves
     * would be refused until its replacement has loaded, which may take minutes or, with the weight store away, hours.
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
