import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createAnswer, createCallFailure, createForwarder, type UpstreamBehaviour } from "../fixtures/forwarders.js";
import { createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

function createEvent(id: number): string {
    return `id: ${id}\ndata: ${id}\n\n`;
}

async function* pause(signal: AbortSignal): AsyncGenerator<Buffer> {
    yield Buffer.from(createEvent(1));
    await sleep(1_600, undefined, { signal });
    yield Buffer.from(createEvent(2));
}

/** The first runner falls silent and goes on; the other one rejects the request after a time. */
function createBehaviour(rejectionMilliseconds: number): UpstreamBehaviour {
    return async ({ signal }, _, count) => {
        if (count === 1) {
            return createAnswer([], { confidence: 80, body: pause(signal) });
        }
        await sleep(rejectionMilliseconds);
        return createCallFailure("refused");
    };
}

describe("a stream whose silent runner is to be replaced by one that queues the request and then rejects it", () => {
    for (const milliseconds of [50, 200]) {
        // Guards against an answer that is broken off halfway since the runner that was to go on with it rejects it late.
        it(`goes on with its own runner after a rejection that takes ${milliseconds} ms`, async () => {
            const route = createStreamRoute({ maxAttempts: 2 });
            const { send } = createForwarder({
                behaviour: createBehaviour(milliseconds),
                getRoutes: () => createRouteTable({ routes: [route] }),
                upstreams: createUpstreams(3),
            });
            const caller = await send({ session: "session", deadlineMilliseconds: 20_000 });
            expect([caller.chunks, caller.isComplete, caller.isAborted]).toEqual([
                [createEvent(1), createEvent(2)],
                true,
                false,
            ]);
        });
    }
});
