import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformSite } from "./platformSite.js";
import { createSeal } from "./standins/runnerStandin.js";

const silenceMilliseconds = 1_100;

// A sound runner answers nothing for about a second and then goes on.
describe("a runner that falls silent for a second", () => {
    const site = new PlatformSite("127.72.51");
    after(() => site.stop());
    before(async () => {
        await site.start(3);
        for (const runner of site.runners.values()) {
            runner.behaviour = async (request, response) => {
                const isStream = request.target.startsWith("/stream/");
                if (isStream) {
                    response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
                    response.write("id: 1\ndata: 1\n\n");
                }
                await sleep(silenceMilliseconds);
                if (!isStream) {
                    response.writeHead(200, createSeal(request));
                }
                response.end(isStream ? "id: 2\ndata: 2\n\n" : "done");
            };
        }
        await site.waitForReady(site.startNode(1));
        await site.waitForReady(site.startNode(2));
    });

    function countReceived(path: string): number {
        return [...site.runners.values()].flatMap(({ received }) => received).filter(({ target }) => target === path)
            .length;
    }

    // Guards against a booking that is reported as failed, or made twice, since its runner was slow to answer.
    it("answers what must not be repeated", async () => {
        const answer = await site.send(site.nodes[0], { path: "/booking/1" });
        expect([answer.status, answer.body, countReceived("/booking/1")]).toEqual([200, "done", 1]);
    });

    // Guards against a second runner that works on a stream while the first one still does.
    it("finishes its streams itself", async () => {
        const answer = await site.send(site.nodes[0], { path: "/stream/1" });
        expect([answer.body, countReceived("/stream/1")]).toEqual(["id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", 1]);
    });

    // Guards against a node that takes the silence of all its runners for a loss of its own paths.
    it("stays reachable for its nodes", async () => {
        await Promise.all([1, 2, 3, 4].map(index => site.send(site.nodes[0], { path: `/booking/${index + 1}` })));
        expect(await site.getMetrics(site.nodes[0])).toInclude("rattanlock_unreachable_pools 0");
        expect(site.nodes[0].events.some(({ name }) => name === "pool-unreachable")).toEqual(false);
    });
});
