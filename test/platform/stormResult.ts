/**
 * What came of a storm: the repeats that reached the runners, and what they were given.
 */
import {
    countPaying,
    countWithin,
    findRepeats,
    findWindows,
    type PayingRequests,
    type RetryAllowance,
    type RetryWindow,
    type TimedRequest,
} from "./retryWindows.js";
import { maxAttempts } from "./stormSite.js";

/** Time by which a runner may go on beyond what its caller waits, and from which on an attempt is a late one. */
const overlongMilliseconds = 500;

/** What one node got and sent again in a window. */
export interface NodeWindow extends PayingRequests {
    readonly node: string;
    readonly repeats: number;
}

/** What came of a storm. */
export interface StormResult {
    /** The window with the most repeats compared to those allowed. */
    readonly worst: RetryWindow;
    readonly broken: readonly RetryWindow[];
    /** Requests that reached a runner, and arrivals beyond the first of each. */
    readonly arrived: number;
    readonly repeats: number;
    /** Requests that more runners got than their route allows, apart from those that rejected them. */
    readonly scattered: readonly string[];
    /** The worst window, by the nodes that got its requests. */
    readonly byNode: readonly NodeWindow[];
    /** Repeats that were given more time than their callers had left, and all that were sent so late. */
    readonly overlong: number;
    readonly late: number;
}

/** A request as a runner received it. */
export interface Arrival extends TimedRequest {
    readonly runner: string;
    readonly isRejected: boolean;
    /** Time that the runner was given, in milliseconds. */
    readonly milliseconds: number;
}

/** A request as its caller sent it. */
export interface SentRequest extends TimedRequest {
    /** Address of the node that got it. */
    readonly node: string;
    /** Time for which its caller waits. */
    readonly milliseconds: number;
}

/** What callers sent and runners received. */
export interface RecordedStorm {
    readonly sent: readonly SentRequest[];
    readonly arrivals: readonly Arrival[];
    /** Addresses of the nodes. */
    readonly nodes: readonly string[];
    readonly allowance: RetryAllowance;
}

/** Compares what arrived at the runners with what callers sent and the nodes may send again. */
export function evaluateStorm(storm: RecordedStorm): StormResult {
    const { sent, arrivals, allowance } = storm;
    const repeats = findRepeats(arrivals);
    const windows = findWindows(sent, repeats, allowance);
    const getUse = ({ repeats: count, allowed }: RetryWindow): number => count / allowed;
    const worst = windows.reduce((other, window) => getUse(window) > getUse(other) ? window : other);
    return {
        worst,
        byNode: divide(storm, worst, repeats),
        broken: windows.filter(window => window.repeats > window.allowed),
        arrived: arrivals.length - repeats.length,
        repeats: repeats.length,
        scattered: findScattered(arrivals.filter(({ isRejected }) => !isRejected)),
        ...countOverlong(storm),
    };
}

/** Divides a window by the nodes that got its requests. */
function divide(
    { sent, nodes }: RecordedStorm,
    { from }: RetryWindow,
    repeats: readonly TimedRequest[],
): readonly NodeWindow[] {
    const nodeById = new Map(sent.map(({ id, node }) => [id, node]));
    return nodes.map(address => ({
        node: address,
        ...countPaying(sent.filter(({ node }) => node === address), from),
        repeats: countWithin(repeats.filter(({ id }) => nodeById.get(id) === address), from),
    }));
}

/** Counts the repeats that were sent well after their first attempts, and those whose runners may go on for too long. */
function countOverlong({ sent, arrivals }: RecordedStorm): Pick<StormResult, "overlong" | "late"> {
    const requests = new Map(sent.map(request => [request.id, request]));
    const first = new Map<string, Arrival>();
    let [late, overlong] = [0, 0];
    for (const arrival of arrivals) {
        const earlier = first.get(arrival.id);
        const request = requests.get(arrival.id);
        if (earlier === undefined || request === undefined) {
            first.set(arrival.id, arrival);
            continue;
        }
        if (arrival.at - earlier.at > overlongMilliseconds) {
            late += 1;
            const end = Math.max(getEnd(earlier), getEnd(request)) + overlongMilliseconds;
            overlong += getEnd(arrival) > end ? 1 : 0;
        }
    }
    return { late, overlong };
}

function getEnd({ at, milliseconds }: Pick<SentRequest, "at" | "milliseconds">): number {
    return at + milliseconds;
}

/** Returns the requests that more runners got than their route allows. */
function findScattered(arrivals: readonly Arrival[]): readonly string[] {
    const runners = new Map<string, Set<string>>();
    for (const { id, runner } of arrivals) {
        runners.set(id, (runners.get(id) ?? new Set()).add(runner));
    }
    return [...runners].filter(([, { size }]) => size > maxAttempts).map(([id]) => id);
}
