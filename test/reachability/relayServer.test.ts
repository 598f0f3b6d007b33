import { expect } from "earl";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createWatchedAgent } from "../../src/connections/index.js";
import type { RelayPart } from "../../src/generated/peer.js";
import { RelayServer, type RelayTarget } from "../../src/reachability/index.js";
import { waitUntil } from "../../src/testbench/index.js";

const host = "127.72.54.1";
const request = {
    upstream: "upstream-1",
    method: "POST",
    path: "/a",
    headers: ["X-One", "1"],
    body: Buffer.from("hello"),
};
const servers: Server[] = [];

async function startUpstream(handle: Parameters<typeof createServer>[1]): Promise<string> {
    const server = createServer(handle);
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return `${host}:${(server.address() as AddressInfo).port}`;
}

function createTarget(address: string, changes: Partial<RelayTarget> = {}): RelayTarget {
    return { address, dispatcher: createWatchedAgent(1_000), hasRoom: () => true, ...changes };
}

async function collect(server: RelayServer, signal = new AbortController().signal): Promise<readonly RelayPart[]> {
    const parts: RelayPart[] = [];
    for await (const part of server.handle(request, signal)) {
        parts.push(part);
    }
    return parts;
}

describe("a node that forwards a request", () => {
    afterEach(() => {
        for (const server of servers.splice(0)) {
            server.closeAllConnections();
            server.close();
        }
    });

    it("sends it once and hands the answer back", async () => {
        const received: unknown[] = [];
        const address = await startUpstream((incoming, response) => {
            received.push([incoming.method, incoming.url, incoming.headers["x-one"]]);
            incoming.resume().on("end", () => response.end("done"));
        });
        const parts = await collect(new RelayServer(id => id === "upstream-1" ? createTarget(address) : undefined));
        expect(received).toEqual([["POST", "/a", "1"]]);
        expect([parts[0].head?.status, parts[1].data?.toString(), parts.at(-1)?.isEnd]).toEqual([200, "done", true]);
    });

    // Guards against an upstream that gets a request though this node knows that it leaves, or that another one has its address.
    it("sends nothing to an upstream that it does not know", async () => {
        const parts = await collect(new RelayServer(() => undefined));
        expect(parts.map(({ failure }) => failure?.kind)).toEqual(["not-sent"]);
    });

    it("says that nothing was sent when it cannot connect either", async () => {
        const parts = await collect(new RelayServer(() => createTarget(`${host}:1`)));
        expect(parts.map(({ failure }) => failure?.kind)).toEqual(["not-sent"]);
    });

    // Guards against an answer without a length that was cut off and passes for a whole one at the node that asked.
    it("does not call an answer without a length whole after a reset", async () => {
        const address = await startUpstream((incoming, response) => {
            response.useChunkedEncodingByDefault = false;
            incoming.resume().on("end", () => {
                response.writeHead(200, { Connection: "close" }).write("do");
                setTimeout(() => incoming.socket.resetAndDestroy(), 50);
            });
        });
        const parts = await collect(new RelayServer(() => createTarget(address)));
        expect([parts.at(-1)?.isEnd, parts.at(-1)?.failure?.kind]).toEqual([false, "disconnected"]);
    });

    // Guards against a request that waits at the forwarding node, up to its deadline, until others of its upstream have ended.
    it("declines what would wait for a connection", async () => {
        const parts = await collect(new RelayServer(() => createTarget(`${host}:1`, { hasRoom: () => false })));
        expect(parts.map(({ failure }) => failure?.kind)).toEqual(["no-room"]);
    });

    // Guards against a node that asks and loses its request without a word when this one stops.
    it("tells the nodes that asked when it stops, and sends nothing afterwards", async () => {
        let received = 0;
        const address = await startUpstream((incoming, response) => {
            received += 1;
            response.writeHead(200).write("begun");
            incoming.resume();
        });
        const server = new RelayServer(() => createTarget(address));
        const pending = collect(server);
        await waitUntil(() => received === 1, { description: "a request at the upstream" });
        server.stop();
        const last = (await pending).at(-1);
        expect([last?.failure, last?.isEnd, server.getInFlight()]).toEqual([
            { kind: "broken", reason: "the node that forwards requests stops" },
            false,
            0,
        ]);
        expect((await collect(server)).map(({ failure }) => failure?.kind)).toEqual(["not-sent"]);
        expect(received).toEqual(1);
    });

    // Guards against a request that begins shortly before its node ends.
    it("declines what would not end before it stops", async () => {
        const server = new RelayServer(() => createTarget(`${host}:1`), () => false);
        expect((await collect(server)).map(({ failure }) => [failure?.kind, failure?.reason])).toEqual([
            ["not-sent", "the node that forwards requests stops"],
        ]);
    });

    // Guards against the few nodes that are left, which would break down under the callers of all others.
    it("declines what exceeds its share, and takes requests again afterwards", async () => {
        const address = await startUpstream(() => {
            // Never answers.
        });
        const server = new RelayServer(() => createTarget(address));
        const controller = new AbortController();
        const pending = Array.from({ length: 256 }, () => collect(server, controller.signal));
        expect((await collect(server)).map(({ failure }) => failure?.kind)).toEqual(["not-sent"]);
        expect(server.getInFlight()).toEqual(256);
        controller.abort();
        await Promise.all(pending);
        expect(server.getInFlight()).toEqual(0);
        const [part] = await collect(server, AbortSignal.timeout(200));
        expect(part.failure?.kind).toEqual("broken");
    });
});
