/** Runners of a soak test that leave or ask for rest, and the check that nodes keep to what they were told. */
import type { ServerResponse } from "node:http";
import type { NodeOutage } from "./soakLimit.js";

/** A runner that rejects all requests for a while, again and again, and asks for rest. */
export const restingRunner = "i-resting";
/** A runner that says from some moment on that it leaves. Its record never shows it. */
export const leavingRunner = "i-leaving";

const restSeconds = 1.5;
const phaseMilliseconds = 2_500;
const leavingAfterMilliseconds = 2_000;
/** The users' bounds. */
const drainMilliseconds = 2_000;
const restSlackMilliseconds = 500;
const maxWhileResting = 2;

/** A request at one of these runners. */
export interface StatementArrival {
    readonly runner: string;
    /** Number of times that the runner had started again. What it states holds until it does. */
    readonly start: number;
    /** Identifier of the request. */
    readonly request: string;
    readonly at: number;
    readonly isTold: boolean;
}

/** What callers know of a request. */
export interface SentRequest {
    /** Address of the node. */
    readonly node: string;
    readonly sentAt: number;
}

/**
 * States what a runner has to state now.
 * @returns Whether the request was rejected, and whether the node was told something.
 */
export function state(
    { runner, request, elapsed }: { readonly runner: string; readonly request: string; readonly elapsed: number; },
    response: ServerResponse,
): { readonly isRejected: boolean; readonly isTold: boolean; } {
    if (runner === leavingRunner && elapsed > leavingAfterMilliseconds) {
        response.setHeader("Server-Leaving", "1");
        return { isRejected: false, isTold: true };
    }
    if (runner !== restingRunner || Math.floor(elapsed / phaseMilliseconds) % 2 === 0) {
        return { isRejected: false, isTold: false };
    }
    const headers = { "Attempt-Id": request, "Not-Executed": "1", "Retry-After": String(restSeconds) };
    response.writeHead(503, headers).end();
    return { isRejected: true, isTold: true };
}

/**
 * Returns the violations, one line each. What a node was told before an outage of its own, or by a runner before that started again,
 * does not count.
 * @param arrivals - All requests at the runners, in their order.
 * @param sent - What the callers know of them, by identifier.
 * @param outages - Outages of nodes.
 */
export function findStatementViolations(
    arrivals: readonly StatementArrival[],
    sent: ReadonlyMap<string, SentRequest>,
    outages: readonly NodeOutage[],
): readonly string[] {
    const violations: string[] = [];
    for (const told of arrivals.filter(({ isTold }) => isTold)) {
        const node = sent.get(told.request)?.node;
        const excused = outages.find(outage => outage.node === node && outage.until >= told.at);
        const until = excused?.from ?? Number.POSITIVE_INFINITY;
        const later = arrivals.filter(({ runner, start, request, at }) =>
            runner === told.runner && start === told.start && at > told.at && at < until
            && sent.get(request)?.node === node
        );
        if (told.runner === restingRunner) {
            const restEndsAt = told.at + restSeconds * 1_000;
            const count = later.filter(({ at }) => at > told.at + restSlackMilliseconds && at < restEndsAt).length;
            if (count > maxWhileResting) {
                violations.push(`${node} sent ${count} requests within a rest that began at ${Math.round(told.at)}`);
            }
        }
        else if (later.some(({ request }) => (sent.get(request)?.sentAt ?? 0) > told.at + drainMilliseconds)) {
            violations.push(`${node} sent requests to a leaving runner that told it so at ${Math.round(told.at)}`);
        }
    }
    return violations;
}
