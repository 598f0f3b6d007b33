import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createAnswer, createCallFailure, createForwarder, type UpstreamBehaviour } from "../fixtures/forwarders.js";
import { createRoute, createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

const lateHeadMilliseconds = 2_700;
const queueMilliseconds = 20_000;
const deadlineMilliseconds = 6_000;

/** The first upstream answers late; the second one does not begin before the deadline. */
const behaviour: UpstreamBehaviour = async ({ signal }, _, count) => {
    const milliseconds = count === 1 ? lateHeadMilliseconds : queueMilliseconds;
    await sleep(milliseconds, undefined, { signal }).catch(() => undefined);
    return signal.aborted ? createCallFailure("broken") : createAnswer(["done"], { confidence: 80 });
};

describe("a request whose answer does not begin in time", () => {
    // Guards against requests that are given up, and never answered, for a place in the queue of another upstream.
    it("is answered by the upstream that begins first, be it the one that was asked first", async () => {
        const statuses = [];
        for (
            const route of [
                createStreamRoute({ maxAttempts: 2 }),
                createRoute({ maxAttempts: 2, timeoutMilliseconds: deadlineMilliseconds }),
            ]
        ) {
            const getRoutes = () => createRouteTable({ routes: [route] });
            const { send } = createForwarder({ behaviour, getRoutes, upstreams: createUpstreams(3) });
            statuses.push((await send({ deadlineMilliseconds })).status);
        }
        expect(statuses).toEqual([200, 200]);
    });
});
