/** Checks the guarantees of a soak test against what callers and runners observed. */
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import type { ObservedRequest } from "./soakCallers.js";
import { createCompleteBody } from "./soakRunners.js";

/** A request as a runner received it, and when. */
export interface ExecutedRequest {
    readonly request: ReceivedRequest;
    readonly at: number;
    readonly runner: string;
}

/** A revoked API key. */
export interface RevokedKey {
    readonly key: string;
    readonly at: number;
}

/**
 * Returns the violations of the guarantees, one line each.
 * @param mayBePartial - Returns whether an answer may end before its end: its runner, which lives, ended it so, and nobody could tell.
 */
export function findViolations(
    observed: readonly ObservedRequest[],
    executed: readonly ExecutedRequest[],
    revoked: readonly RevokedKey[],
    revocationMilliseconds: number,
    mayBePartial: (request: ObservedRequest) => boolean = () => false,
): readonly string[] {
    const counts = new Map<string, number>();
    for (const { request } of executed) {
        const id = String(request.headers["attempt-id"]);
        counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const violations: string[] = [];
    for (const entry of observed) {
        violations.push(
            ...checkRuns(entry, counts.get(entry.id) ?? 0),
            ...checkAnswer(entry, mayBePartial(entry)),
        );
    }
    const keys = new Map(revoked.map(({ key, at }) => [key, at]));
    const byId = new Map(observed.map(entry => [entry.id, entry]));
    for (const { request } of executed) {
        const entry = byId.get(String(request.headers["attempt-id"]));
        const revokedAt = keys.get(entry?.key ?? "");
        if (entry !== undefined && revokedAt !== undefined && entry.sentAt > revokedAt + revocationMilliseconds) {
            violations.push(`${entry.id} ran ${Math.round(entry.sentAt - revokedAt)} ms after its key was revoked`);
        }
    }
    return violations;
}

function* checkRuns({ id, kind, status }: ObservedRequest, runCount: number): Iterable<string> {
    if (kind === "booking" && runCount > 1) {
        yield `${id} ran ${runCount} times`;
    }
    if ((status === 429 || status === 503) && runCount > 0) {
        yield `${id} was refused with ${status} although it ran`;
    }
}

/** @param mayBePartial - Whether nobody can tell that the answer was broken off. */
function* checkAnswer(
    { id, kind, status, isSealed, isComplete, body, events: eventCount }: ObservedRequest,
    mayBePartial: boolean,
): Iterable<string> {
    if (status !== 200) {
        return;
    }
    if (!isSealed) {
        yield `${id} got a success without a runner's seal`;
    }
    if (kind !== "stream") {
        const whole = createCompleteBody(id);
        if (isComplete && body !== whole && !(mayBePartial && whole.startsWith(body))) {
            yield `${id} got a wrong body in a complete answer: ${body}`;
        }
        return;
    }
    const pattern = /id: (\d+)\ndata: (\S+)\n\n/g;
    const events = [...body.matchAll(pattern)];
    const isInOrder = events.every(([, event, owner], index) => Number(event) === index + 1 && owner === id);
    if (!isInOrder || (isComplete && events.length !== eventCount && !mayBePartial)) {
        yield `${id} got a stream with a missing, repeated or foreign event: ${JSON.stringify(body)}`;
    }
}
