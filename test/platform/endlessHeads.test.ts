import { expect } from "earl";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { UpstreamClient } from "../../src/platform/upstreamClient.js";
import { createCallerRequest } from "../fixtures/forwarders.js";
import { createUpstream } from "../fixtures/upstreams.js";
import { waitUntil } from "../fixtures/waiting.js";
import { createEndlessRunner, createSealedStart, type EndlessAnswer } from "./standins/endlessRunner.js";

const host = "127.72.96.1";
/** More than the kernel takes for a connection besides what is read. */
const maxWrittenBytes = 16 * 1024 * 1024;
const chunked = createSealedStart("Transfer-Encoding: chunked\r\n\r\n");
const openResources: { close(): unknown; }[] = [];

const heads: Readonly<Record<string, EndlessAnswer>> = {
    "a header line": { start: "HTTP/1.1 200 OK\r\nX-Long: ", repeated: "x" },
    "the name of a header": { start: "HTTP/1.1 200 OK\r\nX-", repeated: "x" },
    "the spaces before the value of a header": { start: "HTTP/1.1 200 OK\r\nX-Long:", repeated: " " },
    "header lines": { start: createSealedStart(""), repeated: "X-Own: 1\r\n" },
    "a status line": { start: "HTTP/1.1 200 ", repeated: "OK " },
    "the lines before a status line": { start: "", repeated: "\r\n" },
    "heads before the final one": { start: "", repeated: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" },
};
const bodies: Readonly<Record<string, EndlessAnswer>> = {
    "trailers": { start: `${chunked}2\r\nok\r\n0\r\n`, repeated: "X-Own: 1\r\n" },
    "the extension of a chunk": { start: `${chunked}2;a=`, repeated: "x" },
    "the length of a chunk": { start: chunked, repeated: "0" },
};

afterEach(async () => {
    for (const resource of openResources.splice(0)) {
        await resource.close();
    }
});

async function callEndless(answer: EndlessAnswer) {
    const { server, written } = createEndlessRunner(answer);
    server.listen(0, host);
    await once(server, "listening");
    const oversized: string[] = [];
    const client = new UpstreamClient({
        getConnectionLimit: () => 1,
        onOversized: ({ id }) => oversized.push(id),
    });
    openResources.push(client, server);
    const upstream = createUpstream("i-1", { address: `${host}:${(server.address() as AddressInfo).port}` });
    const result = await client.call(upstream, {
        request: createCallerRequest({ headers: ["Attempt-Id", "request-1"] }),
        getTimeLeft: () => 30_000,
        workspace: undefined,
        model: undefined,
        urgency: 3,
        lastEventId: undefined,
        isWithdrawn: () => false,
        confirmCaller: () => undefined,
        signal: AbortSignal.timeout(5_000),
    });
    return { result, written, oversized };
}

describe("an answer without an end", () => {
    // Guards against a node that reads, for as long as the request may take, a head that never ends.
    for (const [name, answer] of Object.entries(heads)) {
        it(`is given up in ${name}`, async () => {
            const { result, written, oversized } = await callEndless(answer);
            // Not `disconnected`: the runner did not crash.
            expect(result.isErr() && result.error.kind).toEqual("broken");
            await waitUntil(() => written[0].isClosed, "the connection has ended");
            expect(written[0].bytes < maxWrittenBytes).toEqual(true);
            expect(oversized).toEqual(["i-1"]);
        });
    }

    for (const [name, answer] of Object.entries(bodies)) {
        it(`is given up in ${name}`, async () => {
            const { result, written, oversized } = await callEndless(answer);
            const read = async () => {
                for await (const piece of result._unsafeUnwrap().body) {
                    void piece;
                }
            };
            await expect(read()).toBeRejected();
            await waitUntil(() => written[0].isClosed, "the connection has ended");
            expect(written[0].bytes < maxWrittenBytes).toEqual(true);
            expect(oversized).toEqual(["i-1"]);
        });
    }

    it("is given up in a refusal that is discarded", async () => {
        const start = createSealedStart("Not-Executed: 1\r\nContent-Length: 999999999999\r\n\r\n");
        for (const answer of [start, start.replace("Content-Length: 999999999999\r\n", "")]) {
            const { result, written } = await callEndless({ start: answer, repeated: "x" });
            expect(result.isErr() && result.error.kind).toEqual("refused");
            await waitUntil(() => written[0].isClosed, "the connection has ended");
            expect(written[0].bytes < maxWrittenBytes).toEqual(true);
        }
    });
});
