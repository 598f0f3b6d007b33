/** The promises that a soak checks, from what callers and runners saw. */
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import type { SeenRequest } from "./soakCallers.js";
import { createWholeBody, streamEvents } from "./soakRunners.js";

/** A request as a runner got it, and when. */
export interface RunRequest {
    readonly request: ReceivedRequest;
    readonly at: number;
    readonly runner: string;
}

/** A key that was taken away. */
export interface RevokedKey {
    readonly key: string;
    readonly at: number;
}

/** Returns what broke a promise, a line each. */
export function findBrokenPromises(
    seen: readonly SeenRequest[],
    runs: readonly RunRequest[],
    revoked: readonly RevokedKey[],
    revocationMilliseconds: number,
): readonly string[] {
    const counts = new Map<string, number>();
    for (const { request } of runs) {
        const id = String(request.headers["attempt-id"]);
        counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const broken: string[] = [];
    for (const entry of seen) {
        broken.push(...checkRuns(entry, counts.get(entry.id) ?? 0), ...checkAnswer(entry));
    }
    const keys = new Map(revoked.map(({ key, at }) => [key, at]));
    const byId = new Map(seen.map(entry => [entry.id, entry]));
    for (const { request } of runs) {
        const entry = byId.get(String(request.headers["attempt-id"]));
        const takenAway = keys.get(entry?.key ?? "");
        if (entry !== undefined && takenAway !== undefined && entry.sentAt > takenAway + revocationMilliseconds) {
            broken.push(`${entry.id} ran ${Math.round(entry.sentAt - takenAway)} ms after its key was taken away`);
        }
    }
    return broken;
}

function* checkRuns({ id, kind, status }: SeenRequest, runs: number): Iterable<string> {
    if (kind === "booking" && runs > 1) {
        yield `${id} ran ${runs} times`;
    }
    if ((status === 429 || status === 503) && runs > 0) {
        yield `${id} was refused with ${status} and has run`;
    }
}

function* checkAnswer({ id, kind, status, isSealed, isWhole, body }: SeenRequest): Iterable<string> {
    if (status !== 200) {
        return;
    }
    if (!isSealed) {
        yield `${id} got a success that no runner vouches for`;
    }
    if (kind !== "stream") {
        if (isWhole && body !== createWholeBody(id)) {
            yield `${id} got another body as a whole one: ${body}`;
        }
        return;
    }
    const pattern = /id: (\d+)\ndata: (\S+)\n\n/g;
    const events = [...body.matchAll(pattern)];
    const isInOrder = events.every(([, event, owner], index) => Number(event) === index + 1 && owner === id);
    if (!isInOrder || (isWhole && events.length !== streamEvents)) {
        yield `${id} got a stream with a piece missing, doubled or of another: ${JSON.stringify(body)}`;
    }
}
