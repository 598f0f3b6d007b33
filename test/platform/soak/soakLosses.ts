/**
 * Checks that each request of a soak test got a whole answer or a whole refusal, unless a fault excuses it. Silent runners and
 * changes of the configuration excuse nothing.
 */
import type { ObservedRequest } from "./soakCallers.js";
import type { ExecutedRequest } from "./soakChecks.js";
import type { RunnerFailure } from "./soakRunners.js";

const successStatus = 200;
/** The time that a node has to stop, in the site's settings, and the share of it after which work may be broken off. */
const graceMilliseconds = 4_000;
const finishingShare = 5 / 6;

/** A time in which a node was killed, told to stop or paused, until it worked again, or had lost its paths to runners. */
export interface NodeFault {
    /** Address of the node. */
    readonly node: string;
    readonly kind: "killed" | "stopped" | "paused" | "cut";
    readonly from: number;
    readonly until: number;
}

/** What is known of the requests of a soak test and of its faults. */
export interface SoakLosses {
    readonly observed: readonly ObservedRequest[];
    /** All runs, in their order. */
    readonly executed: readonly ExecutedRequest[];
    /** The runs that their runner broke off or failed, by what it received. */
    readonly failures: ReadonlyMap<ExecutedRequest["request"], RunnerFailure>;
    readonly faults: readonly NodeFault[];
}

/** What excuses that a request has no whole answer: a fault of its node, its caller's deadline, or its runner. */
export type Excuse = NodeFault["kind"] | "deadline" | "runner";

/** A request without a whole answer or refusal. */
export interface IncompleteRequest {
    readonly request: ObservedRequest;
    readonly runs: readonly ExecutedRequest[];
    /** Undefined for a request that was lost. */
    readonly excuse: Excuse | undefined;
}

/** Returns the requests that have neither a whole answer nor a whole refusal. */
export function findIncomplete({ observed, executed, failures, faults }: SoakLosses): readonly IncompleteRequest[] {
    const runsById = groupRuns(executed);
    return observed.filter(request => !isWhole(request)).map(request => {
        const runs = runsById.get(request.id) ?? [];
        return { request, runs, excuse: findExcuse(request, runs, failures, faults) };
    });
}

function findExcuse(
    request: ObservedRequest,
    runs: readonly ExecutedRequest[],
    failures: SoakLosses["failures"],
    faults: readonly NodeFault[],
): Excuse | undefined {
    if (request.hasConnected && isExcusedByDeadline(request)) {
        return "deadline";
    }
    if (request.hasConnected && isExcusedByRunner(runs, failures)) {
        return "runner";
    }
    return faults.find(fault => isExcusedByFault(request, runs, fault))?.kind;
}

function groupRuns(executed: readonly ExecutedRequest[]): ReadonlyMap<string, readonly ExecutedRequest[]> {
    const groups = new Map<string, ExecutedRequest[]>();
    for (const run of executed) {
        const id = String(run.request.headers["attempt-id"]);
        groups.set(id, [...groups.get(id) ?? [], run]);
    }
    return groups;
}

/** Describes such a request in one line. */
export function describeIncomplete({ request, runs }: IncompleteRequest, startedAt: number): string {
    const { id, address, status, body, events, reason, sentAt, endedAt } = request;
    const had = events === undefined ? `${body.length} bytes` : `${body.split("\n\n").length - 1} of ${events} events`;
    const at = runs.map(run => `${run.runner} at ${Math.round(run.at - startedAt)}`).join(", ");
    return `${id} has no whole answer: sent to ${address} at ${Math.round(sentAt - startedAt)}, ended at ${
        Math.round(endedAt - startedAt)
    }, status ${status}, ${had}, ${reason ?? "complete"}, ran [${at}]`;
}

/** A refusal is whole if it is complete; what a success has to contain is known by its kind. */
function isWhole({ status, isComplete, body, events }: ObservedRequest): boolean {
    const hasAllEvents = events === undefined || body.split("\n\n").length - 1 === events;
    return status !== undefined && isComplete && (status !== successStatus || hasAllEvents);
}

/** Nothing is owed to a caller after the time that it has stated. */
function isExcusedByDeadline({ sentAt, endedAt, deadlineMilliseconds }: ObservedRequest): boolean {
    return endedAt - sentAt >= deadlineMilliseconds;
}

/** The runner ended its last sound run itself, and the runs after it failed as well. */
function isExcusedByRunner(runs: readonly ExecutedRequest[], failures: SoakLosses["failures"]): boolean {
    const ends = runs.map(({ request }) => failures.get(request));
    const lastBroken = ends.lastIndexOf("broken-off");
    return lastBroken >= 0 && ends.slice(lastBroken).every(end => end !== undefined);
}

function isExcusedByFault(
    { address, hasConnected, sentAt, endedAt }: ObservedRequest,
    runs: readonly ExecutedRequest[],
    { node, kind, from, until }: NodeFault,
): boolean {
    if (node !== address || from > endedAt || until < sentAt) {
        return false;
    }
    if (kind === "cut") {
        return hasConnected;
    }
    // A node that stops answers what it has passed on, unless a runner is still at work as its time runs out.
    return kind !== "stopped" || runs.length === 0 || endedAt >= from + finishingShare * graceMilliseconds;
}
