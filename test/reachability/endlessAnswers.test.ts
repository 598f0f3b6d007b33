import { expect } from "earl";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { createWatchedAgent } from "../../src/connections/index.js";
import type { RelayPart } from "../../src/generated/peer.js";
import { RelayServer } from "../../src/reachability/index.js";
import { waitUntil } from "../fixtures/waiting.js";
import { createEndlessRunner, type EndlessAnswer } from "../platform/standins/endlessRunner.js";

const host = "127.72.95.1";
const maxWrittenBytes = 16 * 1024 * 1024;
/** Parts after which the node that asked gives the answer up. */
const takenParts = 10;

/** Forwards one request to an upstream whose answer has no end, and takes some parts of it. */
async function relayEndless(answer: EndlessAnswer) {
    const { server, written } = createEndlessRunner(answer);
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const { port } = server.address() as AddressInfo;
    const dispatcher = createWatchedAgent(1_000);
    const target = { address: `${host}:${port}`, dispatcher, hasRoom: () => true };
    const relay = new RelayServer(() => target);
    const controller = new AbortController();
    const request = { upstream: "u1", method: "POST", path: "/a", headers: [], body: Buffer.from("hello") };
    const parts: RelayPart[] = [];
    for await (const part of relay.handle(request, controller.signal)) {
        parts.push(part);
        if (parts.length === takenParts) {
            controller.abort();
        }
    }
    await waitUntil(() => written[0].isClosed, "the connection has ended");
    await dispatcher.destroy();
    server.close();
    return { parts, bytes: written[0].bytes, inFlight: relay.getInFlight() };
}

describe("a node that forwards an answer without an end", () => {
    // Guards against a node that reads on for another one that has given the answer up.
    it("reads a body no further than the node that asked", async () => {
        const { parts, bytes, inFlight } = await relayEndless({ start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x" });
        expect([parts.at(-1)?.failure?.kind, inFlight]).toEqual(["broken", 0]);
        expect(bytes < maxWrittenBytes).toEqual(true);
    });

    // Guards against a head that is read for as long as the request may take.
    it("gives up heads before the final one", async () => {
        const { parts, bytes, inFlight } = await relayEndless({
            start: "",
            repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
        });
        expect([parts.map(({ failure }) => failure?.kind), inFlight]).toEqual([["broken"], 0]);
        expect(bytes < maxWrittenBytes).toEqual(true);
    });
});
