/** Checks that the nodes of a soak test together keep to the rate that a runner states. */

/** Requests a second that the runner states to take from all nodes together. */
export const statedPerSecond = 2;
/** Time after the first statement from which the limit has to be kept, and the span in which requests are counted. */
const settlingMilliseconds = 3_000;
const windowMilliseconds = 4_000;
/** Half more than the stated rate, and five requests. */
const maxInWindow = 1.5 * statedPerSecond * windowMilliseconds / 1_000 + 5;
/** A node has to know of the limit this long after its first request was answered. */
const toldMilliseconds = 500;

/** A request at the runner that states a limit. */
export interface LimitedArrival {
    readonly at: number;
    /** Address of the node that sent it. */
    readonly node: string;
}

/** A time in which a node was killed, stopped or paused. */
export interface NodeOutage {
    readonly node: string;
    readonly from: number;
    readonly until: number;
}

/**
 * Returns the violations, one line each. Requests of nodes that have just come back, or that the runner has not told of its limit
 * yet, do not count.
 * @param arrivals - All requests at the runner, in their order.
 * @param outages - Outages of nodes.
 */
export function findLimitViolations(
    arrivals: readonly LimitedArrival[],
    outages: readonly NodeOutage[],
): readonly string[] {
    if (arrivals.length === 0) {
        return ["no request reached the runner that states a limit"];
    }
    const from = arrivals[0].at + settlingMilliseconds;
    const counted = arrivals.filter(arrival => arrival.at >= from && isBound(arrival, arrivals, outages));
    const violations: string[] = [];
    for (const { at } of counted) {
        const count = counted.filter(other => other.at >= at && other.at < at + windowMilliseconds).length;
        if (count > maxInWindow) {
            violations.push(`${count} requests in 4 s at ${Math.round(at)}, ${maxInWindow} are allowed`);
        }
    }
    return violations;
}

function isBound(
    { at, node }: LimitedArrival,
    arrivals: readonly LimitedArrival[],
    outages: readonly NodeOutage[],
): boolean {
    let boundFrom = 0;
    for (const outage of outages) {
        if (outage.node === node && outage.from <= at) {
            boundFrom = Math.max(boundFrom, outage.until + settlingMilliseconds);
        }
    }
    return at >= boundFrom
        && arrivals.some(other =>
            other.node === node && other.at >= boundFrom - settlingMilliseconds && other.at <= at - toldMilliseconds
        );
}
