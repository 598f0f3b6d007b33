import { expect } from "earl";
import { appendFileSync, rmSync, writeFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { createConfiguration, PlatformSite } from "./platformSite.js";
import { createSeal } from "./standins/runnerStandin.js";

describe("a node on the platform", () => {
    const site = new PlatformSite("127.72.1");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        await site.waitForReady(site.startNode(1));
    });

    it("forwards the runner's answer unchanged", async () => {
        const answer = await site.send(site.nodes[0]);
        expect([answer.status, answer.body, answer.headers["server-seal"]]).toEqual([200, "done", "3e1b.07"]);
        const received = [...site.runners.values()].flatMap(runner => runner.received)[0];
        expect([received.target, received.body, received.headers.tenant]).toEqual(["/call/1", "hello", "harbour"]);
        expect(received.headers["api-key"]).toEqual(undefined);
    });

    it("refuses unknown keys, unknown paths and invalid requests", async () => {
        const statuses = [
            (await site.send(site.nodes[0], { headers: { "api-key": "other" } })).status,
            (await site.send(site.nodes[0], { path: "/nowhere/1" })).status,
            (await site.send(site.nodes[0], { body: "x".repeat(100_001) })).status,
            (await site.send(site.nodes[0], { headers: { "deadline-ms": "soon" } })).status,
            (await site.send(site.nodes[0], { headers: { "x-long": "x".repeat(20_000) } })).status,
        ];
        expect(statuses).toEqual([401, 404, 413, 400, 431]);
    });

    it("applies a published configuration", async () => {
        site.store.put("keyed.op", "config", createConfiguration(4, ["key", "second"]));
        await waitUntil(
            async () => (await site.send(site.nodes[0], { headers: { "api-key": "second" } })).status === 200,
            {
                description: "the new key",
                timeoutMilliseconds: 2_000,
            },
        );
    });

    // Another program writes a malformed record under a runner's key, and an invalid configuration. The node must continue with
    // its previous state and apply later records.
    it("skips malformed records and keeps its state", async () => {
        site.store.put("keyed.servers", "i-9", Buffer.from("\u0000{"));
        site.store.put("keyed.op", "config", { version: "none" });
        site.store.put("keyed.op", "config", createConfiguration(5, ["key", "third"]));
        await waitUntil(
            async () => (await site.send(site.nodes[0], { headers: { "api-key": "third" } })).status === 200,
            {
                description: "the readable configuration",
            },
        );
        // The topics are read independently of each other, and log lines arrive on another channel than answers.
        const findUnreadable = () => site.nodes[0].events.filter(event => event.name === "record-unreadable");
        await waitUntil(() => findUnreadable().length >= 2, { description: "both lines" });
        expect(findUnreadable().map(event => event.key).sort()).toEqual(["config", "i-9"]);
    });

    it("sends no requests to a draining runner", async () => {
        site.register("i-1", { state: "draining" });
        const isKnown = () => site.nodes[0].events.some(event => event.upstream === "i-1" && event.leaving === true);
        await waitUntil(isKnown, { description: "the state change" });
        const before = site.runners.get("i-1")!.received.length;
        for (let request = 0; request < 6; request += 1) {
            expect((await site.send(site.nodes[0])).status).toEqual(200);
        }
        expect(site.runners.get("i-1")!.received.length).toEqual(before);
        site.register("i-1");
    });

    // Guards against an answer that looks complete when the node that passes it on is killed.
    it("gives a call a length whose runner gave it none", async () => {
        for (const runner of site.runners.values()) {
            runner.behaviour = (request, response) => {
                response.useChunkedEncodingByDefault = false;
                response.writeHead(200, { ...createSeal(request), "Connection": "close" }).end("done");
            };
        }
        const answer = await site.send(site.nodes[0], { path: "/booking/1" });
        expect([answer.status, answer.body]).toEqual([200, "done"]);
        expect([answer.headers["content-length"], answer.headers["transfer-encoding"]]).toEqual(["4", undefined]);
    });

    it("forwards the events of a stream", async () => {
        for (const runner of site.runners.values()) {
            runner.behaviour = async (request, response) => {
                response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
                for (let id = 1; id <= 3; id += 1) {
                    response.write(`id: ${id}\ndata: ${id}\n\n`);
                    await new Promise(resolve => setTimeout(resolve, 20));
                }
                response.end();
            };
        }
        const answer = await site.send(site.nodes[0], { path: "/stream/1", headers: { session: "s" } });
        expect(answer.body).toEqual("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
    });

    it("exposes its counters on the metrics address from the settings", async () => {
        const [node] = site.nodes;
        const countRefused = async () =>
            Number(/refused_requests_total\{kind="unauthorized"\} (\d+)/.exec(await site.getMetrics(node))?.[1]);
        const before = await countRefused();
        await site.send(node, { headers: { "api-key": "other" } });
        expect(await countRefused()).toEqual(before + 1);
        const metrics = await site.getMetrics(node);
        expect(metrics).toInclude("rattanlock_forwarded_requests_total{route=\"call\",ran=\"ran\"}");
        expect(metrics).toInclude("rattanlock_attempt_head_seconds_bucket");
    });

    it("keeps its settings when a changed file is invalid, and applies a valid one", async () => {
        const [node] = site.nodes;
        appendFileSync(node.settingsFile, "\nwrong\n[bounds]\n");
        node.child.kill("SIGHUP");
        await waitUntil(() => node.events.some(event => event.name === "settings-refused"), {
            description: "the refusal",
        });
        writeFileSync(node.settingsFile, site.createSettings(node.address));
        node.child.kill("SIGHUP");
        await waitUntil(() => node.events.some(event => event.name === "settings-reloaded"), {
            description: "the reload",
        });
        expect((await site.send(node)).status).toEqual(200);
    });

    // A file that is replaced is missing for a moment. Guards against a node that ends then, with everything that it has in hand.
    it("keeps its settings when the changed file cannot be read", async () => {
        const [node] = site.nodes;
        const countRefused = (): number => node.events.filter(event => event.name === "settings-refused").length;
        const before = countRefused();
        rmSync(node.settingsFile);
        node.child.kill("SIGHUP");
        const hasEnded = (): boolean => typeof node.child.exitCode === "number";
        await waitUntil(() => countRefused() > before || hasEnded(), { description: "the refusal" });
        expect(hasEnded()).toEqual(false);
        writeFileSync(node.settingsFile, site.createSettings(node.address));
        expect((await site.send(node)).status).toEqual(200);
    });

    // The platform leaves the memory limit out. Guards against a node that takes a default without a word.
    it("reports that its settings give no memory limit", async () => {
        const [node] = site.nodes;
        const countLines = (): number => node.events.filter(event => event.name === "memory-limit-missing").length;
        const before = countLines();
        const settings = site.createSettings(node.address).replace(
            /^memory_mb = .*$/m,
            "memory_mb = {{limits.memory_mb}}",
        );
        expect(settings).toInclude("memory_mb = {{");
        writeFileSync(node.settingsFile, settings);
        node.child.kill("SIGHUP");
        await waitUntil(() => countLines() > before, { description: "the line" });
        expect((await site.send(node)).status).toEqual(200);
    });

    // Settings change while a node restarts. The reload signal arrives before the program has installed its handler, so the node
    // exits instead of starting. Callers find one address fewer until it is started again.
    it("survives a reload signal while its program is loading", async () => {
        const node = site.startNode(2, ["--import", "./test/platform/standins/signalWhileLoading.mjs"]);
        await site.waitForReady(node);
        expect((await site.send(node)).status).toEqual(200);
    });
});
