import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { PresenceCheck, ReadProgress, systemClock } from "../../src/common/index.js";
import { ReplyBuffers } from "../../src/forwarding/index.js";
import { HttpReply } from "../../src/platform/httpReply.js";
import { waitUntil } from "../../src/testbench/index.js";

const host = "127.0.0.1";
const maxReplyBytes = 64 * 1024;
const megabyte = 1024 * 1024;
/** More than the kernel holds for a connection. */
const pieceCount = 400;
const piece = Buffer.alloc(64 * 1024, "x");

interface DroppedCaller {
    readonly request: string;
    readonly bound: string;
}

const opened: { readonly close: () => void; }[] = [];

type HandleReply = (id: string, reply: HttpReply) => Promise<void>;

async function startServer(handle: HandleReply, maxNodeBytes: number) {
    const dropped: DroppedCaller[] = [];
    const resets: string[] = [];
    const buffers = new ReplyBuffers({ clock: systemClock, maxReplyBytes, getMaxNodeBytes: () => maxNodeBytes });
    const server = createServer((incoming, response) => {
        const id = String(incoming.headers["attempt-id"]);
        // A client of the same runtime that does not read sees the end of the connection, whether it was reset or not.
        const reset = incoming.socket.resetAndDestroy.bind(incoming.socket);
        incoming.socket.resetAndDestroy = () => {
            resets.push(id);
            return reset();
        };
        const onDropped = (request: string, bound: string): number => dropped.push({ request, bound });
        const presence = new PresenceCheck(new ReadProgress({ clock: systemClock }));
        const onBroken = (): void => {};
        void handle(
            id,
            new HttpReply({ incoming, response, isLeaving: () => false, buffers, presence, onDropped, onBroken }),
        );
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    opened.push({
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    });
    return { port: (server.address() as AddressInfo).port, buffers, dropped, resets };
}

type HttpVersion = "1.0" | "1.1";

function createRequest(id: string, version: HttpVersion = "1.1"): string {
    return `GET /a/1 HTTP/${version}\r\nHost: app.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 20000\r\n\r\n`;
}

/** Sends a request on a connection that is not read until the test reads it. */
async function sendRequest(port: number, id: string, version?: HttpVersion): Promise<Socket> {
    const socket = connect(port, host);
    socket.pause();
    socket.on("error", () => {
        // The node resets connections of callers that it gives up.
    });
    opened.push({ close: () => socket.destroy() });
    await once(socket, "connect");
    socket.write(createRequest(id, version));
    return socket;
}

/** Reads a connection to its end. */
async function readAll(socket: Socket): Promise<string> {
    const pieces: Buffer[] = [];
    socket.on("data", (data: Buffer) => pieces.push(data));
    socket.resume();
    if (!socket.closed) {
        await new Promise(resolve => socket.once("close", resolve));
    }
    return Buffer.concat(pieces).toString("latin1");
}

function createStream(written: Map<string, number>, hasStatedEnd = true): HandleReply {
    return async (id, reply) => {
        reply.start(200, [], { hasStatedEnd });
        for (let count = 0; count < pieceCount && !reply.disconnected.aborted; count += 1) {
            await reply.write(piece);
            written.set(id, count + 1);
        }
        if (reply.disconnected.aborted) {
            reply.abort("test");
            return;
        }
        reply.end();
    };
}

describe("callers that read slowly", () => {
    afterEach(() => {
        for (const one of opened.splice(0)) {
            one.close();
        }
    });

    // A caller stops reading its stream. Guards against a run that goes on for nobody, against memory that grows with the answer, and
    // against a truncated answer that looks complete.
    it("gives up a stream whose caller does not read, with a reset connection", async () => {
        for (const hasStatedEnd of [true, false]) {
            const written = new Map<string, number>();
            const { port, buffers, dropped, resets } = await startServer(
                createStream(written, hasStatedEnd),
                100 * megabyte,
            );
            const socket = await sendRequest(port, "stalled");
            await waitUntil(() => dropped.length > 0, { description: "the end of the stream" });
            expect(dropped).toEqual([{ request: "stalled", bound: "reply" }]);
            expect([buffers.getHeldBytes(), written.get("stalled")! < pieceCount]).toEqual([0, true]);
            expect(resets[0]).toEqual("stalled");
            expect((await readAll(socket)).endsWith("0\r\n\r\n")).toEqual(false);
        }
    });

    // Guards against an answer that cannot be completed and looks complete: to a caller that reads chunks as the last one is sent, to one
    // that does not as its connection is closed in order.
    it("leaves the chunks of an answer open that cannot be completed, and resets the connection where there are none", async () => {
        for (const hasStatedEnd of [true, false]) {
            for (const version of ["1.0", "1.1"] as const) {
                const { port, resets } = await startServer(async (...[, reply]) => {
                    reply.start(200, [], { hasStatedEnd });
                    await reply.write(Buffer.from("first"));
                    setTimeout(() => reply.abort("test"), 20);
                }, 100 * megabyte);
                const received = await readAll(await sendRequest(port, "broken", version));
                expect(resets).toEqual(version === "1.1" ? [] : ["broken"]);
                expect([/transfer-encoding: chunked/i.test(received), received.endsWith("0\r\n\r\n")]).toEqual([
                    version === "1.1",
                    false,
                ]);
            }
        }
    });

    // Guards against a connection that serves no further request since an answer on it had no length at its upstream.
    it("serves the next request on a connection after an answer whose upstream stated no end", async () => {
        const { port } = await startServer(async (id, reply) => {
            reply.start(200, [], { hasStatedEnd: false });
            await reply.write(Buffer.from(id));
            reply.end();
        }, 100 * megabyte);
        const socket = await sendRequest(port, "first");
        socket.write(createRequest("second"));
        let text = "";
        socket.on("data", (data: Buffer) => text += data.toString());
        socket.resume();
        await waitUntil(() => text.split("0\r\n\r\n").length === 3, { description: "both answers" });
        expect(text.split("\r\n").filter(line => line === "first" || line === "second")).toEqual([
            "first",
            "second",
        ]);
    });

    it("delivers a large answer to a caller that reads at the pace of its link, and holds little meanwhile", async () => {
        let highest = 0;
        const { port, buffers, dropped } = await startServer(createStream(new Map()), 100 * megabyte);
        const socket = await sendRequest(port, "steady");
        let bytes = 0;
        socket.on("data", (data: Buffer) => {
            bytes += data.length;
            highest = Math.max(highest, buffers.getHeldBytes());
            socket.pause();
            setTimeout(() => socket.resume(), 1);
        });
        socket.resume();
        await waitUntil(() => bytes >= pieceCount * piece.length, { description: "the whole answer" });
        expect([dropped, highest <= maxReplyBytes + 2 * piece.length]).toEqual([[], true]);
    });

    // The process hands many pieces to the kernel as one write, which ends only when all have left. Guards against a caller that is
    // given up although it reads.
    it("keeps a caller that reads slowly and steadily", async () => {
        const bytesPerMillisecond = 3_000;
        const large = Buffer.alloc(12 * megabyte, "x");
        const { port, dropped } = await startServer(async (...[, reply]) => {
            reply.start(200, []);
            await reply.write(large);
            reply.end();
        }, 100 * megabyte);
        const socket = await sendRequest(port, "slow");
        const startedAt = Date.now();
        let bytes = 0;
        socket.on("data", (data: Buffer) => {
            bytes += data.length;
            socket.pause();
            setTimeout(() => socket.resume(), startedAt + bytes / bytesPerMillisecond - Date.now());
        });
        socket.resume();
        await waitUntil(() => bytes >= large.length || dropped.length > 0, { description: "the whole answer" });
        expect([dropped, bytes >= large.length]).toEqual([[], true]);
    });

    // Guards against an answer that is lost because its caller began to read after the upstream had finished.
    it("delivers a complete plain answer also when its caller reads late", async () => {
        const body = Buffer.alloc(8 * megabyte, "x");
        const answer: HandleReply = (...[, reply]) => {
            reply.answer(200, ["Connection", "close"], body);
            return Promise.resolve();
        };
        const { port, buffers, dropped } = await startServer(answer, 100 * megabyte);
        const socket = await sendRequest(port, "late");
        await waitUntil(() => buffers.countBehind() === 1, { description: "an answer that waits" });
        await new Promise(resolve => setTimeout(resolve, 1_500));
        const received = await readAll(socket);
        expect([received.length > body.length, dropped, buffers.getHeldBytes()]).toEqual([true, [], 0]);
    });

    // The HTTP library reports the end of a connection only to the answer that is being sent. Guards against runs that go on for nobody.
    it("ends all requests of a connection that closes, also those whose answers are queued", async () => {
        const replies = new Map<string, HttpReply>();
        const { port, buffers } = await startServer(async (id, reply) => {
            replies.set(id, reply);
            reply.start(200, []);
            await reply.write(Buffer.from("begun"));
        }, 100 * megabyte);
        const socket = await sendRequest(port, "first");
        socket.write(createRequest("second"));
        await waitUntil(() => replies.size === 2, { description: "both requests" });
        socket.resetAndDestroy();
        const isGone = (): boolean => [...replies.values()].every(reply => reply.disconnected.aborted);
        await waitUntil(isGone, { description: "the end of both requests", timeoutMilliseconds: 2_000 });
        expect(buffers.getHeldBytes()).toEqual(0);
    });

    // Guards against a caller that waits for an answer that was given up, and against a complete answer before it that is cut.
    it("closes the connection of a queued answer that is given up, after the answer before it", async () => {
        const large = Buffer.alloc(8 * megabyte, "x");
        let first: HttpReply | undefined;
        const { port } = await startServer((id, reply) => {
            if (id === "first") {
                first = reply;
                return Promise.resolve();
            }
            reply.start(200, [], { hasStatedEnd: id !== "open" });
            reply.abort("test");
            first?.answer(200, [], large);
            return Promise.resolve();
        }, 100 * megabyte);
        for (const id of ["closed", "open"]) {
            const socket = await sendRequest(port, "first");
            socket.write(createRequest(id));
            await new Promise(resolve => setTimeout(resolve, 200));
            let hangs = false;
            const late = setTimeout(() => {
                hangs = true;
                socket.destroy();
            }, 3_000);
            const received = await readAll(socket);
            clearTimeout(late);
            expect([received.split("HTTP/1.1").length - 1, received.split("\r\n\r\n")[1].length]).toEqual([
                1,
                large.length,
            ]);
            expect(hangs).toEqual(false);
        }
    });

    // 200 callers read nothing. Guards against a node whose memory grows with them, and whose other callers are not served.
    it("bounds what it holds for 200 slow callers and serves the others", async () => {
        const maxNodeBytes = 4 * megabyte;
        const large = Buffer.alloc(megabyte, "x");
        const answer: HandleReply = (id, reply) => {
            reply.answer(200, ["Connection", "close"], id.startsWith("slow") ? large : Buffer.from("done"));
            return Promise.resolve();
        };
        const { port, buffers, dropped } = await startServer(answer, maxNodeBytes);
        let highest = 0;
        for (let count = 0; count < 200; count += 1) {
            await sendRequest(port, `slow-${count}`);
            const received = await readAll(await sendRequest(port, `fast-${count}`));
            expect(received.endsWith("done")).toEqual(true);
            highest = Math.max(highest, buffers.getHeldBytes());
        }
        expect(highest <= maxNodeBytes).toEqual(true);
        expect(dropped.filter(({ request, bound }) => !request.startsWith("slow") || bound !== "node")).toEqual([]);
    });
});
