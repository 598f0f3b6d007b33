/**
 * Checks that each request of a soak test got a whole answer or a whole refusal, unless a fault excuses it. Silent runners and
 * changes of the configuration excuse nothing.
 */
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import type { RunEnd } from "./runEnds.js";
import type { ObservedRequest } from "./soakCallers.js";
import type { ExecutedRequest } from "./soakChecks.js";

const successStatus = 200;
/** The time that a node has to stop, in the site's settings, and the share of it after which work may be broken off. */
const graceMilliseconds = 4_000;
const finishingShare = 5 / 6;
/** Attempts at a stream, in the site's configuration. */
const maxStreamAttempts = 3;
/** Time after the signal from which a stopping node has to answer all that it passes on. */
const acceptingMilliseconds = 3_000;

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
    /** Returns how a run has ended at its runner; undefined while it goes on. */
    readonly getEnd: (request: ReceivedRequest) => RunEnd | undefined;
    readonly faults: readonly NodeFault[];
    /** Returns whether a runner has framed its answer. Without it, each one has. */
    readonly isFramed?: ((request: ReceivedRequest) => boolean) | undefined;
}

/**
 * What excuses that a request has no whole answer: a fault of its node, its caller's deadline, or its runner; or that nobody has said that
 * its stream is whole, and nobody could be asked any more.
 */
export type Excuse = NodeFault["kind"] | "deadline" | "runner" | "unstated";

/** A request without a whole answer or refusal. */
export interface IncompleteRequest {
    readonly request: ObservedRequest;
    readonly runs: readonly ExecutedRequest[];
    /** Undefined for a request that was lost. */
    readonly excuse: Excuse | undefined;
}

/** Returns the requests that have neither a whole answer nor a whole refusal. */
export function findIncomplete(losses: SoakLosses): readonly IncompleteRequest[] {
    const { observed, executed, getEnd, faults } = losses;
    const runsById = groupRuns(executed);
    return observed.filter(request => !isWhole(request)).map(request => {
        const runs = runsById.get(request.id) ?? [];
        const ends = runs.map(run => getEnd(run.request));
        const excuse = isUnstated(request, runs, losses) ? "unstated" : findExcuse(request, ends, faults);
        return { request, runs, excuse };
    });
}

/** The first of its answers had a framing, the last one had none and ended in order, and the stream has all its events. */
function isUnstated(
    { isFramed, events, body }: ObservedRequest,
    runs: readonly ExecutedRequest[],
    losses: SoakLosses,
): boolean {
    const last = runs.at(-1);
    return events !== undefined && isFramed && runs.length >= maxStreamAttempts && last !== undefined
        && losses.isFramed?.(runs[0].request) === true && losses.isFramed(last.request) === false
        && losses.getEnd(last.request)?.kind === "answered"
        && body.split("\n\n").length - 1 === events;
}

function findExcuse(
    request: ObservedRequest,
    ends: readonly (RunEnd | undefined)[],
    faults: readonly NodeFault[],
): Excuse | undefined {
    if (request.hasConnected && isExcusedByDeadline(request)) {
        return "deadline";
    }
    if (request.hasConnected && isExcusedByRunner(ends)) {
        return "runner";
    }
    return faults.find(fault => isExcusedByFault(request, ends.length > 0, fault))?.kind;
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

/** The runner broke the answer off itself, and no other run was still sound: the node had given the others up before. */
function isExcusedByRunner(ends: readonly (RunEnd | undefined)[]): boolean {
    const brokenAt = Math.max(...ends.filter(end => end?.kind === "broken-off").map(end => end?.at ?? 0));
    return Number.isFinite(brokenAt)
        && ends.every(end =>
            end?.kind === "broken-off" || end?.kind === "failed" || (end?.kind === "left" && end.at <= brokenAt)
        );
}

function isExcusedByFault(
    { address, hasConnected, sentAt, endedAt }: ObservedRequest,
    isPassedOn: boolean,
    { node, kind, from, until }: NodeFault,
): boolean {
    if (node !== address || from > endedAt || until < sentAt) {
        return false;
    }
    if (kind === "cut") {
        return hasConnected;
    }
    if (kind === "stopped" && isPassedOn) {
        // A node that stops answers what it has passed on, unless a runner is still at work as its time runs out.
        return sentAt <= from + acceptingMilliseconds && endedAt >= from + finishingShare * graceMilliseconds;
    }
    return true;
}
