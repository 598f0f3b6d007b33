/**
 * Places versions on the runners of a pool by demand and failure domain, with the least moves: what is loaded already
 * counts first.
 */
import { leastDomains, type LoadingRequest, type LoadingRunner, type PlacedVersion } from "./loading.js";

/** A version gets so many times its proportional part of the runners, so that requests have a choice among them. */
const spread = 2;
/** Demand that is taken for granted, so that versions that had no requests yet share empty runners evenly. */
const assumedDemand = 1;

/** For each version, the runners that are to have it. */
export type VersionPlacement = ReadonlyMap<string, ReadonlySet<string>>;

/** A runner with what is placed on it so far. */
interface Seat {
    readonly runner: LoadingRunner;
    readonly versions: Set<string>;
}

/**
 * Returns how many runners each version gets.
 * @param request - What is to be decided.
 */
export function countCopies(request: LoadingRequest): ReadonlyMap<string, number> {
    const { runners, placed, versionsPerRunner } = request;
    const slots = runners.length * versionsPerRunner;
    const affordable = Math.max(1, Math.floor(slots / Math.max(1, placed.length)));
    const least = Math.min(runners.length, request.leastCopies, affordable);
    const wanted = new Map<string, number>();
    let surplus = 0;
    const total = sumDemand(placed);
    for (const version of placed) {
        const share = (version.demand + assumedDemand) / total;
        const copies = Math.min(runners.length, Math.max(least, Math.ceil(spread * runners.length * share)));
        wanted.set(version.id, copies);
        surplus += copies - least;
    }
    const room = Math.max(0, slots - placed.length * least);
    const scale = surplus > room ? room / surplus : 1;
    for (const [id, copies] of wanted) {
        wanted.set(id, least + Math.floor((copies - least) * scale));
    }
    return wanted;
}

/**
 * Places versions on runners.
 * @param request - What is to be decided.
 */
export function placeVersions(request: LoadingRequest): VersionPlacement {
    const seats = request.runners.map(runner => ({ runner, versions: new Set<string>() }));
    const copies = countCopies(request);
    const placement = new Map<string, Set<string>>();
    // What is loaded is placed for all versions before anything is added, or a new version would take the room of one
    // that is loaded there, and that one would have to move without need.
    for (const { id } of request.placed) {
        const loaded = seats.filter(({ runner }) => runner.versions.includes(id) || runner.loading.includes(id));
        placement.set(id, new Set());
        take({ id, placement, seats: loaded, count: copies.get(id) ?? 0, request });
    }
    for (const { id } of request.placed) {
        const free = seats.filter(seat => !seat.runner.isStalled);
        take({ id, placement, seats: free, count: copies.get(id) ?? 0, request });
    }
    for (const { id } of request.placed) {
        const domains = countDomains(request.runners, placement.get(id) ?? new Set());
        if ((copies.get(id) ?? 0) >= leastDomains && domains.size < leastDomains) {
            exchange(id, placement, seats, request.versionsPerRunner);
        }
    }
    return placement;
}

/**
 * Makes room for a version in a second failure domain: another version leaves a full runner there, for one with room or
 * in exchange. Without it a version stays in one failure domain, although there is room in all, when others were
 * placed first.
 */
function exchange(
    id: string,
    placement: ReadonlyMap<string, Set<string>>,
    seats: readonly Seat[],
    versionsPerRunner: number,
): void {
    const open = seats.filter(seat => !seat.runner.isStalled);
    const own = open.filter(seat => seat.versions.has(id));
    const roomy = open.filter(seat => seat.versions.size < versionsPerRunner);
    for (const seat of open) {
        if (own.length === 0 || seat.runner.failureDomain === own[0].runner.failureDomain) {
            continue;
        }
        for (const other of seat.versions) {
            const target = [...roomy, ...own.slice(1)].find(candidate =>
                !candidate.versions.has(other) && isSpreadAfter(other, seat, candidate, seats)
            );
            if (target !== undefined) {
                if (target.versions.has(id)) {
                    remove(id, target, placement);
                }
                remove(other, seat, placement);
                add(other, target, placement);
                add(id, seat, placement);
                return;
            }
        }
    }
}

/** Tells whether a version that moves has a copy in another failure domain than the one it moves to. */
function isSpreadAfter(version: string, from: Seat, to: Seat, seats: readonly Seat[]): boolean {
    for (const seat of seats) {
        const domain = seat.runner.failureDomain;
        if (seat !== from && seat.versions.has(version) && domain !== to.runner.failureDomain) {
            return true;
        }
    }
    return false;
}

function add(version: string, seat: Seat, placement: ReadonlyMap<string, Set<string>>): void {
    seat.versions.add(version);
    placement.get(version)?.add(seat.runner.id);
}

function remove(version: string, seat: Seat, placement: ReadonlyMap<string, Set<string>>): void {
    seat.versions.delete(version);
    placement.get(version)?.delete(seat.runner.id);
}

interface Taking {
    readonly id: string;
    readonly placement: Map<string, Set<string>>;
    readonly seats: readonly Seat[];
    readonly count: number;
    readonly request: LoadingRequest;
}

/** Places a version on runners, from one failure domain after the other, until it has its number of copies. */
function take({ id, placement, seats, count, request }: Taking): void {
    const taken = placement.get(id) ?? new Set<string>();
    const domains = countDomains(request.runners, taken);
    const queues = groupByDomain(
        seats,
        seat => !taken.has(seat.runner.id) && seat.versions.size < request.versionsPerRunner,
        request.versionsPerRunner,
    );
    for (;;) {
        const domain = findLeast(queues, domains);
        const isSpread = domains.size >= leastDomains || domain === undefined || domains.has(domain);
        // A version whose copies all lie in one failure domain gets one more elsewhere, beyond its number.
        if (domain === undefined || taken.size >= count && (isSpread || count < leastDomains)) {
            return;
        }
        const seat = queues.get(domain)?.shift();
        if (seat === undefined) {
            return;
        }
        seat.versions.add(id);
        taken.add(seat.runner.id);
        domains.set(domain, (domains.get(domain) ?? 0) + 1);
    }
}

/** Groups runners by failure domain, in each the emptiest first. */
function groupByDomain(
    seats: readonly Seat[],
    isFree: (seat: Seat) => boolean,
    versionsPerRunner: number,
): ReadonlyMap<string, Seat[]> {
    const groups = new Map<string, Seat[]>();
    for (const seat of seats) {
        if (isFree(seat)) {
            const group = groups.get(seat.runner.failureDomain);
            if (group === undefined) {
                groups.set(seat.runner.failureDomain, [seat]);
            }
            else {
                group.push(seat);
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

function isFull({ runner }: Seat, versionsPerRunner: number): boolean {
    return runner.versions.length >= versionsPerRunner;
}

/** Finds the failure domain with the fewest copies that has a runner left; of equal ones, that with the emptiest. */
function findLeast(
    queues: ReadonlyMap<string, readonly Seat[]>,
    domains: ReadonlyMap<string, number>,
): string | undefined {
    let least: string | undefined;
    let leastCount = 0;
    let leastSize = 0;
    for (const [domain, queue] of queues) {
        if (queue.length === 0) {
            continue;
        }
        const count = domains.get(domain) ?? 0;
        const { size } = queue[0].versions;
        if (least === undefined || count < leastCount || count === leastCount && size < leastSize) {
            least = domain;
            leastCount = count;
            leastSize = size;
        }
    }
    return least;
}

function countDomains(runners: readonly LoadingRunner[], taken: ReadonlySet<string>): Map<string, number> {
    const domains = new Map<string, number>();
    for (const { id, failureDomain } of runners) {
        if (taken.has(id)) {
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
