import { expect } from "earl";
import { describe, it } from "node:test";
import type { RouteTable } from "../../src/routing/index.js";
import { createForwarder } from "../fixtures/forwarders.js";
import { createRoute, createRouteTable } from "../fixtures/routes.js";
import { createUpstream } from "../fixtures/upstreams.js";

describe("Forwarder", () => {
    it("forwards a request with its workspace and the remaining time", async () => {
        const { send, calls } = createForwarder();
        const caller = await send();
        expect([caller.status, caller.chunks, caller.isComplete]).toEqual([200, ["done"], true]);
        const { call } = calls[0];
        expect([call.workspace, call.getTimeLeft() <= 1_000]).toEqual(["harbour", true]);
    });

    // Without these fields the log does not show which requests belong to a session and which version answered each of them.
    it("logs the session and the version of each attempt", async () => {
        const { send, lines } = createForwarder({ versionReason: "candidate: share 0.1" });
        await send({ session: "s-1" });
        expect(lines.find(line => line.name === "request-routed")?.session).toEqual("s-1");
        expect(lines.find(line => line.name === "attempt-ended")?.versionReason).toEqual("candidate: share 0.1");
    });

    // A route is split between two pools. If each request drew its pool anew, two services would answer one session in turn.
    it("serves all requests of a session by one of a route's pools", async () => {
        const pools = [{ pool: "app", weight: 1 }, { pool: "other", weight: 1 }];
        const upstreams = [createUpstream("u1"), createUpstream("u2", { pool: "other" })];
        const { send, calls } = createForwarder({
            upstreams,
            getRoutes: () => createRouteTable({ routes: [createRoute({ pools })] }),
        });
        for (const session of ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"]) {
            const before = calls.length;
            for (const id of ["a", "b", "c", "d", "e"]) {
                await send({ id: `${session}-${id}`, session });
            }
            expect(new Set(calls.slice(before).map(({ upstream }) => upstream)).size).toEqual(1);
        }
        expect(new Set(calls.map(({ upstream }) => upstream)).size).toEqual(2);
    });

    it("refuses unknown keys and paths while its configuration is current", async () => {
        const { send, calls } = createForwarder();
        expect((await send({ apiKey: "other" })).refusal?.failure.kind).toEqual("unauthorized");
        expect((await send({ apiKey: undefined })).refusal?.failure.kind).toEqual("unauthorized");
        expect((await send({ target: "/b/1" })).refusal?.failure.kind).toEqual("not-found");
        expect(calls.length).toEqual(0);
    });

    // The node has just started, or the store does not answer. With a final refusal every caller would assume that its key or
    // path is wrong, and would not retry.
    it("asks callers to retry while its configuration is missing or old", async () => {
        const unknown = createForwarder({ getRoutes: () => undefined });
        const old = createForwarder({ getConfigurationAge: () => 3_000 });
        for (
            const caller of [
                await unknown.send(),
                await old.send({ apiKey: "new" }),
                await old.send({ target: "/new/" }),
            ]
        ) {
            const { failure, outcome } = caller.refusal!;
            expect([failure.kind, outcome, failure.retryAfterMilliseconds !== undefined]).toEqual([
                "stale",
                "not-run",
                true,
            ]);
        }
    });

    // After a power failure callers connect while the node reads its first configuration. If they were refused at once, they
    // would use up their only other attempt a few milliseconds before they can be served.
    it("makes callers wait for the first read after a start, then serves them", async () => {
        let routes: RouteTable | undefined;
        const { send } = createForwarder({
            getRoutes: () => routes,
            waitForFirstRead: () => {
                routes = createRouteTable({ routes: [createRoute()] });
                return Promise.resolve();
            },
        });
        expect((await send()).refusal).toEqual(undefined);
    });

    // A key is revoked while this node is partitioned from the store. Anyone who has the key would be served until the partition
    // ends.
    it("refuses keys when its configuration is too old to show their revocation", async () => {
        const { send, calls } = createForwarder({
            getConfigurationAge: () => 4_800,
            getRoutes: () =>
                createRouteTable({ routes: [createRoute(), createRoute({ pathPrefix: "/open/", isPublic: true })] }),
        });
        expect((await send()).refusal?.failure.kind).toEqual("stale");
        expect((await send({ target: "/open/1", apiKey: undefined })).status).toEqual(200);
        expect(calls.map(({ call }) => call.workspace)).toEqual([undefined]);
    });

    it("refuses a body above the limit", async () => {
        const { send } = createForwarder();
        expect((await send({ body: Buffer.alloc(100_001) })).refusal?.failure.kind).toEqual("too-large");
    });

    it("logs each decision with the request's id and the age of the configuration", async () => {
        const { send, lines } = createForwarder();
        await send();
        const names = lines.map(line => [line.name, line.request]);
        expect(names).toEqual([
            ["request-routed", "request-1"],
            ["attempt-ended", "request-1"],
            ["request-ended", "request-1"],
        ]);
        expect(lines[0].configurationAgeMs).toEqual(0);
    });
});
