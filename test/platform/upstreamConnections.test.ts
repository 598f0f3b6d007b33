import { expect } from "earl";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createCallerRequest } from "../fixtures/forwarders.js";
import { waitUntil } from "../fixtures/waiting.js";
import { createRawRunner } from "./standins/runnerStandin.js";
import { createCall, okAnswer, read, UpstreamCalls } from "./upstreamCalls.js";

/** Time within which a request that waits is withdrawn. */
const maxWithdrawalMilliseconds = 1_000;
const calls = new UpstreamCalls();

afterEach(() => calls.close());

describe("requests that wait for a connection to an upstream", () => {
    // Guards against requests that were placed before an upstream left, and reach it when a connection becomes free.
    it("sends no request that waited for a connection to an upstream that may not receive it any more", async () => {
        const sockets: Socket[] = [];
        const upstream = await calls.listen(createRawRunner(socket => sockets.push(socket)));
        let mayReceive = true;
        const client = calls.createClient({ mayReceive: () => mayReceive });
        const first = client.call(upstream, createCall());
        await waitUntil(() => sockets.length === 1, "the first request arrives");
        const waiting = [client.call(upstream, createCall()), client.call(upstream, createCall())];
        mayReceive = false;
        client.withdrawWaiting();
        const withdrawn = await Promise.race([Promise.all(waiting), sleep(maxWithdrawalMilliseconds, [])]);
        expect(withdrawn.map(called => called._unsafeUnwrapErr().kind)).toEqual(["no-room", "no-room"]);
        sockets[0].write(okAnswer);
        expect(await read((await first)._unsafeUnwrap())).toEqual("ok");
        expect(sockets.length).toEqual(1);
    });

    // Guards against requests that waited for a connection while a part of their prompts was quarantined, and crash one more upstream.
    it("sends no request that was withdrawn while it waited for a connection", async () => {
        const sockets: Socket[] = [];
        const upstream = await calls.listen(createRawRunner(socket => sockets.push(socket)));
        const client = calls.createClient();
        const first = client.call(upstream, createCall());
        await waitUntil(() => sockets.length === 1, "the first request arrives");
        let isWithdrawn = false;
        const waiting = client.call(upstream, createCall({ isWithdrawn: () => isWithdrawn }));
        isWithdrawn = true;
        client.withdrawWaiting();
        const withdrawn = await Promise.race([waiting, sleep(maxWithdrawalMilliseconds)]);
        expect(withdrawn?._unsafeUnwrapErr().kind).toEqual("no-room");
        sockets[0].write(okAnswer);
        expect(await read((await first)._unsafeUnwrap())).toEqual("ok");
        expect(sockets.length).toEqual(1);
    });

    // Guards against a runner that is cancelled for another one while the request still waits for a connection to that one.
    it("reports that a request is sent when it is written, and not while it waits for a connection", async () => {
        const sockets: Socket[] = [];
        const upstream = await calls.listen(createRawRunner(socket => sockets.push(socket)));
        const client = calls.createClient();
        const first = client.call(upstream, createCall());
        await waitUntil(() => sockets.length === 1, "the first request arrives");
        const sentAt: number[] = [];
        const waiting = client.call(upstream, createCall({ onSent: () => sentAt.push(sockets.length) }));
        await sleep(50);
        expect(sentAt).toEqual([]);
        sockets[0].write(okAnswer);
        expect(await read((await first)._unsafeUnwrap())).toEqual("ok");
        await waitUntil(() => sockets.length === 2, "the second request arrives");
        expect(sentAt).toEqual([1]);
        sockets[1].write(okAnswer);
        expect(await read((await waiting)._unsafeUnwrap())).toEqual("ok");
    });

    // Guards against requests that are sent for nobody, as the leaving of their callers is read after the end of their wait.
    it("sends no request whose caller turns out to have left after the wait for a connection", async () => {
        const sockets: Socket[] = [];
        const upstream = await calls.listen(createRawRunner(socket => sockets.push(socket)));
        const client = calls.createClient();
        const first = client.call(upstream, createCall());
        await waitUntil(() => sockets.length === 1, "the first request arrives");
        const controller = new AbortController();
        const confirmCaller = (): Promise<void> => {
            controller.abort();
            return Promise.resolve();
        };
        const waiting = client.call(upstream, createCall({ signal: controller.signal, confirmCaller }));
        sockets[0].write(okAnswer);
        expect(await read((await first)._unsafeUnwrap())).toEqual("ok");
        const ended = await Promise.race([waiting, sleep(maxWithdrawalMilliseconds)]);
        expect(ended?._unsafeUnwrapErr().kind).toEqual("no-room");
    });

    // Guards against connections beyond a limit that was lowered, which an upstream resets with the requests on them.
    it("sends no request beyond a limit of connections that was lowered since they were opened, and each one in the end", async () => {
        const sockets: Socket[] = [];
        const upstream = await calls.listen(createRawRunner(socket => sockets.push(socket)));
        let limit = 4;
        const client = calls.createClient({ getConnectionLimit: () => limit });
        const answer = async (socket: Socket, pending: ReturnType<typeof client.call>): Promise<void> => {
            socket.write(okAnswer);
            expect(await read((await pending)._unsafeUnwrap())).toEqual("ok");
        };
        const first = client.call(upstream, createCall());
        const second = client.call(upstream, createCall());
        await waitUntil(() => sockets.length === 2, "the first two requests arrive");
        limit = 1;
        const third = client.call(upstream, createCall());
        const fourth = client.call(upstream, createCall());
        await answer(sockets[0], first);
        await sleep(50);
        expect(sockets.length).toEqual(2);
        await answer(sockets[1], second);
        await waitUntil(() => sockets.length === 3, "the third request arrives");
        await sleep(50);
        expect(sockets.length).toEqual(3);
        await answer(sockets[2], third);
        await waitUntil(() => sockets.length === 4, "the fourth request arrives");
        await answer(sockets[3], fourth);
        expect(new Set(sockets).size).toEqual(2);
    });

    // Guards against requests that wait for ever, or get lost, behind others for one connection.
    it("sends requests that wait for a connection one after the other, and none whose caller has left", async () => {
        const received: string[] = [];
        const upstream = await calls.listen(createRawRunner((socket, id) => {
            received.push(id);
            socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok`);
        }));
        const client = calls.createClient();
        const controller = new AbortController();
        const ids = ["request-1", "request-2", "request-3", "request-4", "request-5"];
        const pending = ids.map(async id => {
            const request = createCallerRequest({ id, headers: ["Attempt-Id", id] });
            const signal = id === "request-3" ? controller.signal : new AbortController().signal;
            const called = await client.call(upstream, createCall({ request, signal }));
            return called.isOk() ? read(called.value) : called.error.kind;
        });
        controller.abort();
        expect(await Promise.all(pending)).toEqual(["ok", "ok", "no-room", "ok", "ok"]);
        expect(received).toEqual(ids.filter(id => id !== "request-3"));
    });
});
