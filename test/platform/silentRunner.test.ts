import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { createConfiguration, PlatformSite } from "./platformSite.js";
import { createSeal, type RunnerBehaviour } from "./standins/runnerStandin.js";

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

const eventCount = 90;
const eventMilliseconds = 50;
const longSilenceMilliseconds = 1_800;
const changeMilliseconds = 400;
const timeoutMilliseconds = 15_000;

/** Creates the configuration of a version, which raises a limit and adds a route. Requests have one retry. */
function createChangedConfiguration(version: number): object {
    const configuration = createConfiguration(version) as {
        readonly routes: readonly { readonly name: string; }[];
        readonly limits: Readonly<Record<string, number>>;
    };
    const routes = configuration.routes.map(route => ({
        ...route,
        timeout_ms: timeoutMilliseconds,
        max_attempts: route.name === "booking" ? 1 : 2,
    }));
    const added = { ...routes[0], name: `call-${version}`, path_prefix: `/added-${version}/` };
    const limits = { ...configuration.limits, max_body_bytes: 100_000 + version };
    return { ...configuration, routes: [...routes, added], limits };
}

// One half of the runners falls silent after the other, so that the second silence meets requests on their last attempt.
describe("runners that fall silent while the configuration changes", () => {
    const site = new PlatformSite("127.72.58");
    /** Time at which each runner goes on. */
    const silentUntil = new Map<string, number>();
    let version = 2;
    let changes: NodeJS.Timeout | undefined;
    after(async () => {
        clearInterval(changes);
        await site.stop();
    });
    before(async () => {
        await site.start(4);
        site.store.put("keyed.op", "config", createChangedConfiguration(version));
        for (const [id, runner] of site.runners) {
            runner.behaviour = createStreaming(() => silentUntil.get(id) ?? 0);
        }
        for (const index of [1, 2, 3]) {
            await site.waitForReady(site.startNode(index));
        }
        changes = setInterval(() => {
            version += 1;
            site.store.put("keyed.op", "config", createChangedConfiguration(version));
        }, changeMilliseconds);
    });

    /** Makes runners silent for a time. */
    function silence(ids: readonly string[]): void {
        for (const id of ids) {
            silentUntil.set(id, performance.now() + longSilenceMilliseconds);
        }
    }

    function countEnded(): number {
        return site.nodes.flatMap(({ events }) => events).filter(({ name }) => name === "request-ended").length;
    }

    // Guards against answers that are broken off although their runners go on, since nothing is left that could replace them.
    it("ends no answer before it is complete", async () => {
        const options = { headers: { "deadline-ms": String(timeoutMilliseconds) } };
        const streams = Array.from(
            { length: 36 },
            (...[, index]) => site.send(site.nodes[index % 3], { ...options, path: `/stream/${index}` }),
        );
        const bookings = Array.from(
            { length: 12 },
            (...[, index]) => site.send(site.nodes[index % 3], { ...options, path: `/booking/${index}` }),
        );
        await sleep(800);
        silence(["i-1", "i-2"]);
        await sleep(longSilenceMilliseconds + 100);
        silence(["i-3", "i-4"]);
        const answers = await Promise.all(streams);
        const booked = await Promise.all(bookings);
        expect(new Set(answers.map(({ body }) => body))).toEqual(new Set([createEvents(1, eventCount)]));
        expect(booked.map(({ status }) => status)).toEqual(booked.map(() => 200));
        await waitUntil(() => countEnded() === streams.length + bookings.length, { description: "all requests" });
        const events = site.nodes.flatMap(node => node.events);
        expect(events.filter(({ name }) => name === "answer-broken")).toEqual([]);
        expect(events.some(({ name, reason }) => name === "attempt-ended" && reason === "no data for 1300 ms")).toEqual(
            true,
        );
    });
});

/** Creates the behaviour of a runner that sends an event at a time, and nothing until a certain time. */
function createStreaming(getSilentUntil: () => number): RunnerBehaviour {
    return async (request, response) => {
        const isStream = request.target.startsWith("/stream/");
        const headers = isStream ? { "Content-Type": "text/event-stream" } : {};
        const last = Number(request.headers["last-event-id"] ?? 0);
        await sleep(Math.max(0, getSilentUntil() - performance.now()));
        response.writeHead(200, { ...createSeal(request), ...headers });
        for (let id = last + 1; id <= eventCount && !response.destroyed; id += 1) {
            await sleep(Math.max(eventMilliseconds, getSilentUntil() - performance.now()));
            if (isStream) {
                response.write(createEvents(id, id));
            }
        }
        response.end(isStream ? undefined : "done");
    };
}

/** Returns the bytes of the events from one number to another. */
function createEvents(first: number, last: number): string {
    return Array.from(
        { length: last - first + 1 },
        (...[, index]) => `id: ${first + index}\ndata: ${first + index}\n\n`,
    )
        .join("");
}
