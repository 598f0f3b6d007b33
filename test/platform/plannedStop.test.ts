import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { callerPort, createConfiguration, PlatformSite, type SiteAnswer, type SiteNode } from "./platformSite.js";
import { createSeal } from "./standins/runnerStandin.js";

/** Longer than the time that a node has to stop. */
const longMilliseconds = 20_000;
/** Time for which a stopping node serves at least. */
const minServingMilliseconds = 2_500;
/** Longer than it takes an idle node to notice that. */
const marginMilliseconds = 300;
/** Time between the pieces of a stream. */
const pieceMilliseconds = 100;

/** Returns a configuration whose requests may last longer than a node has to stop. */
function createLongConfiguration(maxConnections: number): object {
    const configuration = createConfiguration(2) as { readonly routes: object[]; readonly services: object[]; };
    return {
        ...configuration,
        routes: configuration.routes.map(route => ({ ...route, timeout_ms: longMilliseconds })),
        services: configuration.services.map(service => ({ ...service, max_conns: maxConnections })),
    };
}

/** Sends a request with a long deadline. Returns undefined when its connection ends before the answer is complete. */
async function send(site: PlatformSite, node: SiteNode, path: string): Promise<SiteAnswer | undefined> {
    try {
        return await site.send(node, {
            path,
            headers: { "attempt-id": path, "deadline-ms": String(longMilliseconds) },
        });
    }
    catch {
        return undefined;
    }
}

/** Returns the bytes of a request. */
function createRequest(id: string, body: string): string {
    return [
        `POST /call/${id} HTTP/1.1`,
        "Host: app.example",
        `Attempt-Id: ${id}`,
        "Deadline-Ms: 20000",
        "Api-Key: key",
        `Content-Length: ${body.length}`,
        "",
        body,
    ].join("\r\n");
}

// A node is told to stop while runners are at work that will not end in time.
describe("a node whose time to stop runs out", () => {
    const site = new PlatformSite("127.72.91");
    const paths = ["/call/held", "/booking/held", "/stream/begun"];
    const cancelled: string[] = [];
    let answers: readonly (SiteAnswer | undefined)[];
    after(() => site.stop());
    before(async () => {
        await site.start(1);
        site.store.put("keyed.op", "config", createLongConfiguration(paths.length));
        const node = site.startNode(1);
        await site.waitForReady(node);
        const runner = site.runners.get("i-1")!;
        runner.behaviour = (request, response) => {
            response.once("close", () => cancelled.push(request.target));
            if (request.target === "/stream/begun") {
                response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
                const timer = setInterval(() => response.write("id: 1\ndata: 1\n\n"), pieceMilliseconds);
                response.once("close", () => clearInterval(timer));
            }
        };
        const held = paths.map(path => send(site, node, path));
        await waitUntil(() => runner.received.length === paths.length, { description: "requests at the runner" });
        const waiting = send(site, node, "/call/waiting");
        await waitUntil(
            () => node.events.some(event => event.name === "request-routed" && event.request === "/call/waiting"),
            {
                description: "a request that waits for a connection",
            },
        );
        node.child.kill("SIGTERM");
        answers = await Promise.all([...held, waiting]);
        expect(await node.exited).toEqual(0);
    });

    // Guards against callers that lose their connection without a word.
    it("answers each request that has no answer yet", () => {
        expect(answers.map(answer => answer?.status)).toEqual([502, 502, undefined, 503]);
    });

    // Guards against a caller that waits long although another node would serve it.
    it("promises that what was not sent has not run, and lets it come back at once", () => {
        const waiting = answers.at(-1);
        expect(JSON.parse(waiting!.body)).toLooseEqual({
            error: "unavailable",
            outcome: "not-run",
            detail: "The node stops before the request can be answered. Send the request to another address.",
        });
        expect(waiting!.headers["retry-after"]).toEqual("0.050");
    });

    // Guards against runners that work on for nobody.
    it("cancels the runs", async () => {
        await waitUntil(() => cancelled.length === paths.length, { description: "cancelled runs" });
        expect([...cancelled].sort()).toEqual([...paths].sort());
    });

    it("logs what it refuses and what it breaks off", () => {
        const find = (name: string) => site.nodes[0].events.filter(event => event.name === name);
        expect(find("request-ended").filter(({ stopped }) => stopped === true).length).toEqual(paths.length + 1);
        expect(find("answer-broken").map(({ request, reason }) => [request, reason])).toEqual([[
            "/stream/begun",
            "the node stops",
        ]]);
        expect(find("process-stopped").map(({ requests }) => requests)).toEqual([0]);
    });
});

describe("a node that is told to stop while it reads", () => {
    const site = new PlatformSite("127.72.92", { grace_s: 30 });
    after(() => site.stop());
    before(async () => {
        await site.start(1);
        site.store.put("keyed.op", "config", createLongConfiguration(1));
        await site.waitForReady(site.startNode(1));
    });

    // Guards against a node that takes itself for idle while it reads the body of a request.
    it("answers a request whose body takes longer than it serves at least", async () => {
        const [node] = site.nodes;
        const body = "hello";
        const socket = connect(callerPort, node.address);
        let received = "";
        socket.on("data", data => received += String(data));
        await once(socket, "connect");
        const content = createRequest("slow", body);
        socket.write(content.slice(0, -1));
        node.child.kill("SIGTERM");
        await waitUntil(() => node.events.some(({ name }) => name === "process-stopping"), { description: "the stop" });
        const isClosed = once(socket, "close");
        setTimeout(() => socket.write(content.slice(-1)), minServingMilliseconds + marginMilliseconds);
        await isClosed;
        expect(received.split("\r\n")[0]).toEqual("HTTP/1.1 200 OK");
        expect(await node.exited).toEqual(0);
    });

    // Guards against a node that closes a connection on which a request waits unread, after it was paused as it stops.
    it("answers a request that arrived while it was paused", async () => {
        const node = site.startNode(2);
        await site.waitForReady(node);
        node.child.kill("SIGTERM");
        await waitUntil(() => node.events.some(({ name }) => name === "process-stopping"), { description: "the stop" });
        const socket = connect(callerPort, node.address);
        let received = "";
        socket.on("data", data => received += String(data));
        socket.on("error", () => {
            // The node resets a connection that it closes unread.
        });
        await once(socket, "connect");
        await sleep(marginMilliseconds);
        node.child.kill("SIGSTOP");
        socket.write(createRequest("paused", "hello"));
        await sleep(minServingMilliseconds + marginMilliseconds);
        const isClosed = once(socket, "close");
        node.child.kill("SIGCONT");
        await isClosed;
        expect(received.split("\r\n")[0]).toEqual("HTTP/1.1 200 OK");
        expect(await node.exited).toEqual(0);
    });
});
