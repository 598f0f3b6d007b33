/**
 * Placement of versions on the runners of a pool by demand and failure domain. Runners that already have a version loaded are used
 * first, to minimize the number of moves.
 */
import { type LoadingRequest, type LoadingRunner, minFailureDomains, type PlacedVersion } from "./loading.js";

/** Factor by which a version gets more runners than its proportional share, so that requests can select among several runners. */
const overprovisioningFactor = 2;
/** Demand that is added to each version, so that versions without requests share empty runners evenly. */
const assumedDemand = 1;

/** Identifiers of the runners for each version. */
export type VersionPlacement = ReadonlyMap<string, ReadonlySet<string>>;

/** Represents a runner with the versions placed on it so far. */
interface RunnerAssignment {
    readonly runner: LoadingRunner;
    readonly versions: Set<string>;
}

/**
 * Returns the number of runners for each version.
 * @param request - The input of the decision.
 */
export function countCopies(request: LoadingRequest): ReadonlyMap<string, number> {
    const { runners, placed, versionsPerRunner } = request;
    const slots = runners.length * versionsPerRunner;
    const affordableCopies = Math.max(1, Math.floor(slots / Math.max(1, placed.length)));
    const minCopies = Math.min(runners.length, request.minCopies, affordableCopies);
    const desired = new Map<string, number>();
    let surplus = 0;
    const total = sumDemand(placed);
    for (const version of placed) {
        const share = (version.demand + assumedDemand) / total;
        const copies = Math.min(
            runners.length,
            Math.max(minCopies, Math.ceil(overprovisioningFactor * runners.length * share)),
        );
        desired.set(version.id, copies);
        surplus += copies - minCopies;
    }
    const spareSlots = Math.max(0, slots - placed.length * minCopies);
    const scale = surplus > spareSlots ? spareSlots / surplus : 1;
    for (const [id, copies] of desired) {
        desired.set(id, minCopies + Math.floor((copies - minCopies) * scale));
    }
    return desired;
}

/**
 * Places versions on runners.
 * @param request - The input of the decision.
 */
export function placeVersions(request: LoadingRequest): VersionPlacement {
    const assignments = request.runners.map(runner => ({ runner, versions: new Set<string>() }));
    const copies = countCopies(request);
    const placement = new Map<string, Set<string>>();
    // Loaded copies of all versions are placed before any copy is added. Otherwise a new version could take the slot of a version that
    // is loaded there, which would have to move without need.
    for (const { id } of request.placed) {
        const loaded = assignments.filter(({ runner }) => runner.versions.includes(id) || runner.loading.includes(id));
        placement.set(id, new Set());
        assignCopies({ id, placement, assignments: loaded, count: copies.get(id) ?? 0, request });
    }
    for (const { id } of request.placed) {
        const free = assignments.filter(assignment => !assignment.runner.isStalled);
        assignCopies({ id, placement, assignments: free, count: copies.get(id) ?? 0, request });
    }
    for (const { id } of request.placed) {
        const domains = countDomains(request.runners, placement.get(id) ?? new Set());
        if ((copies.get(id) ?? 0) >= minFailureDomains && domains.size < minFailureDomains) {
            spreadOverDomains(id, placement, assignments, request.versionsPerRunner);
        }
    }
    return placement;
}

/**
 * Makes room for a version in a second failure domain: moves another version from a full runner there to one with free capacity, or
 * swaps the two. Otherwise a version could stay in a single failure domain despite enough total capacity, because others were placed
 * before it.
 */
function spreadOverDomains(
    id: string,
    placement: ReadonlyMap<string, Set<string>>,
    assignments: readonly RunnerAssignment[],
    versionsPerRunner: number,
): void {
    const available = assignments.filter(assignment => !assignment.runner.isStalled);
    const holders = available.filter(assignment => assignment.versions.has(id));
    const withFreeCapacity = available.filter(assignment => assignment.versions.size < versionsPerRunner);
    for (const assignment of available) {
        if (holders.length === 0 || assignment.runner.failureDomain === holders[0].runner.failureDomain) {
            continue;
        }
        for (const other of assignment.versions) {
            const target = [...withFreeCapacity, ...holders.slice(1)].find(candidate =>
                !candidate.versions.has(other) && isSpreadAfterMove(other, assignment, candidate, assignments)
            );
            if (target !== undefined) {
                if (target.versions.has(id)) {
                    unassign(id, target, placement);
                }
                unassign(other, assignment, placement);
                assign(other, target, placement);
                assign(id, assignment, placement);
                return;
            }
        }
    }
}

/** Returns whether a version that is moved has another copy outside of the failure domain that it is moved to. */
function isSpreadAfterMove(
    version: string,
    from: RunnerAssignment,
    to: RunnerAssignment,
    assignments: readonly RunnerAssignment[],
): boolean {
    for (const assignment of assignments) {
        const domain = assignment.runner.failureDomain;
        if (assignment !== from && assignment.versions.has(version) && domain !== to.runner.failureDomain) {
            return true;
        }
    }
    return false;
}

function assign(version: string, assignment: RunnerAssignment, placement: ReadonlyMap<string, Set<string>>): void {
    assignment.versions.add(version);
    placement.get(version)?.add(assignment.runner.id);
}

function unassign(version: string, assignment: RunnerAssignment, placement: ReadonlyMap<string, Set<string>>): void {
    assignment.versions.delete(version);
    placement.get(version)?.delete(assignment.runner.id);
}

interface CopyAssignment {
    readonly id: string;
    readonly placement: Map<string, Set<string>>;
    readonly assignments: readonly RunnerAssignment[];
    readonly count: number;
    readonly request: LoadingRequest;
}

/** Places a version on runners until it has its number of copies, each time in the failure domain with the fewest copies. */
function assignCopies({ id, placement, assignments, count, request }: CopyAssignment): void {
    const assigned = placement.get(id) ?? new Set<string>();
    const domains = countDomains(request.runners, assigned);
    const queues = groupByDomain(
        assignments,
        assignment => !assigned.has(assignment.runner.id) && assignment.versions.size < request.versionsPerRunner,
        request.versionsPerRunner,
    );
    for (;;) {
        const domain = findLeastCoveredDomain(queues, domains);
        const isSpread = domains.size >= minFailureDomains || domain === undefined || domains.has(domain);
        // A version whose copies are all in one failure domain gets one more in another, beyond its number of copies.
        if (domain === undefined || assigned.size >= count && (isSpread || count < minFailureDomains)) {
            return;
        }
        const assignment = queues.get(domain)?.shift();
        if (assignment === undefined) {
            return;
        }
        assignment.versions.add(id);
        assigned.add(assignment.runner.id);
        domains.set(domain, (domains.get(domain) ?? 0) + 1);
    }
}

/** Groups runners by failure domain, with the fewest placed versions first. Among equal ones, runners with a free slot come first. */
function groupByDomain(
    assignments: readonly RunnerAssignment[],
    isFree: (assignment: RunnerAssignment) => boolean,
    versionsPerRunner: number,
): ReadonlyMap<string, RunnerAssignment[]> {
    const groups = new Map<string, RunnerAssignment[]>();
    for (const assignment of assignments) {
        if (isFree(assignment)) {
            const group = groups.get(assignment.runner.failureDomain);
            if (group === undefined) {
                groups.set(assignment.runner.failureDomain, [assignment]);
            }
            else {
                group.push(assignment);
            }
        }
    }
    for (const group of groups.values()) {
        group.sort((left, right) =>
            left.versions.size - right.versions.size
            || Number(isFull(left, versionsPerRunner)) - Number(isFull(right, versionsPerRunner))
        );
    }
    return groups;
}

function isFull({ runner }: RunnerAssignment, versionsPerRunner: number): boolean {
    return runner.versions.length >= versionsPerRunner;
}

/**
 * Finds the failure domain with the fewest copies that has a runner left. Among equal ones, it is the domain whose next runner has the
 * fewest placed versions.
 */
function findLeastCoveredDomain(
    queues: ReadonlyMap<string, readonly RunnerAssignment[]>,
    domains: ReadonlyMap<string, number>,
): string | undefined {
    let leastCovered: string | undefined;
    let minCount = 0;
    let minSize = 0;
    for (const [domain, queue] of queues) {
        if (queue.length === 0) {
            continue;
        }
        const count = domains.get(domain) ?? 0;
        const { size } = queue[0].versions;
        if (leastCovered === undefined || count < minCount || count === minCount && size < minSize) {
            leastCovered = domain;
            minCount = count;
            minSize = size;
        }
    }
    return leastCovered;
}

function countDomains(runners: readonly LoadingRunner[], assigned: ReadonlySet<string>): Map<string, number> {
    const domains = new Map<string, number>();
    for (const { id, failureDomain } of runners) {
        if (assigned.has(id)) {
            domains.set(failureDomain, (domains.get(failureDomain) ?? 0) + 1);
        }
    }
    return domains;
}

function sumDemand(placed: readonly PlacedVersion[]): number {
    let total = 0;
    for (const { demand } of placed) {
        total += demand + assumedDemand;
    }
    return total;
}
