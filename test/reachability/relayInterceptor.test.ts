import type { ClientReadableStream } from "@grpc/grpc-js";
import { expect } from "earl";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { Agent } from "undici";
import { ManualClock, RandomSource } from "../../src/common/index.js";
import type { RelayPart, RelayRequest } from "../../src/generated/peer.js";
import type { Member } from "../../src/membership/index.js";
import { createRelayInterceptor, RelayPeers } from "../../src/reachability/index.js";
import { provesNothingWritten } from "../../src/upstream/index.js";

const head = { head: { status: 200, headers: ["Content-Length", "4", "X-Two", "a", "X-Two", "b"] }, isEnd: false };
const data = { data: Buffer.from("done"), isEnd: false };
const end = { isEnd: true };
const member = { id: "node-2", state: "alive", address: "127.0.0.2", peerPort: 1 } as Member;

/** A call to a peer that yields the given parts, and fails like one of the library's when it is cancelled. */
class CallStandin extends Readable {
    isCancelled = false;

    constructor(parts: readonly Partial<RelayPart>[]) {
        super({ objectMode: true, read: () => {} });
        for (const part of parts) {
            this.push(part);
        }
    }

    cancel(): void {
        this.isCancelled = true;
        this.destroy(new Error("1 CANCELLED: Cancelled on client"));
    }
}

type Open = (request: RelayRequest) => Promise<CallStandin | undefined>;

/** Creates a dispatcher whose requests are all sent through another node. */
function createRelay(open: Open, members: readonly Member[] = [member]) {
    const clock = new ManualClock();
    const peers = new RelayPeers({
        clock,
        random: new RandomSource(1),
        self: "node-1",
        getMembers: () => members,
        reaches: () => true,
    });
    const requests: RelayRequest[] = [];
    const dispatcher = new Agent().compose(createRelayInterceptor({
        peers,
        findRelayed: () => ({ id: "upstream-1", pool: "pool" }),
        open: async (...[, request]) => {
            requests.push(request);
            return await open(request) as unknown as ClientReadableStream<RelayPart> | undefined;
        },
    }));
    const send = (signal?: AbortSignal) =>
        dispatcher.request({
            origin: "http://127.0.0.9:1",
            path: "/a?b=1",
            method: "POST",
            headers: ["X-One", "1"],
            body: "hello",
            signal,
            responseHeaders: "raw",
        });
    return { dispatcher, send, requests, peers };
}

function createCall(...parts: readonly Partial<RelayPart>[]): Open {
    return () => Promise.resolve(new CallStandin(parts));
}

async function catchError(promise: Promise<unknown>): Promise<unknown> {
    try {
        await promise;
    }
    catch (error) {
        return error;
    }
    return undefined;
}

describe("a request that another node forwards", () => {
    it("hands over the whole request and passes the answer on", async () => {
        const { send, requests } = createRelay(createCall(head, data, end));
        const response = await send();
        expect([response.statusCode, await response.body.text()]).toEqual([200, "done"]);
        expect(response.headers as unknown).toEqual(["Content-Length", "4", "X-Two", "a,b"]);
        expect(requests.map(({ body, ...request }) => ({ ...request, body: body.toString() }))).toEqual([
            { upstream: "upstream-1", method: "POST", path: "/a?b=1", headers: ["X-One", "1"], body: "hello" },
        ]);
    });

    // Guards against a request that is repeated although it may have run, or reported as failed although it was never sent.
    it("counts as not sent only when that is certain", async () => {
        const notSent: readonly Open[] = [
            () => Promise.resolve(undefined),
            createCall({ failure: { kind: "not-sent", reason: "refused" }, isEnd: false }),
            createCall({ failure: { kind: "no-room", reason: "in use" }, isEnd: false }),
        ];
        for (const open of notSent) {
            expect(provesNothingWritten(await catchError(createRelay(open).send()))).toEqual(true);
        }
        expect(provesNothingWritten(await catchError(createRelay(createCall(), []).send()))).toEqual(true);
        const lostCall = new CallStandin([]);
        setImmediate(() => lostCall.destroy(new Error("14 UNAVAILABLE: Connection dropped")));
        const uncertain: readonly Open[] = [
            createCall({ failure: { kind: "disconnected", reason: "reset" }, isEnd: false }),
            () => Promise.resolve(lostCall),
        ];
        for (const open of uncertain) {
            const error = await catchError(createRelay(open).send());
            expect([error instanceof Error, provesNothingWritten(error)]).toEqual([true, false]);
        }
    });

    // Guards against a pool that nobody is asked for during a second because one of its upstreams was busy for a moment.
    it("goes on to ask a node that has no room at one upstream", async () => {
        for (const [kind, canReach] of [["no-room", true], ["not-sent", false]] as const) {
            const { send, peers } = createRelay(createCall({ failure: { kind, reason: "in use" }, isEnd: false }));
            await catchError(send());
            expect(peers.canReach("pool")).toEqual(canReach);
        }
    });

    // Guards against half an answer that passes for a whole one, since the forwarding node was killed in the middle.
    it("fails when its answer ends too early", async () => {
        const call = new CallStandin([head, { data: Buffer.from("do"), isEnd: false }]);
        const response = await createRelay(() => Promise.resolve(call)).send();
        call.destroy(new Error("14 UNAVAILABLE: Connection dropped"));
        expect(await catchError(response.body.text()) instanceof Error).toEqual(true);
    });

    // Guards against an answer that is given up for a request that waits for a connection to another node, and may not get one.
    it("starts when the call to the other node is open", async () => {
        const steps: string[] = [];
        const { dispatcher } = createRelay(async () => {
            await Promise.resolve();
            steps.push("open");
            return new CallStandin([head, data, end]);
        });
        await new Promise<void>((resolve, reject) => {
            dispatcher.dispatch({ origin: "http://127.0.0.9:1", path: "/", method: "GET" }, {
                onRequestStart: () => void steps.push("start"),
                onResponseStart: () => void steps.push("head"),
                onResponseData: () => {},
                onResponseEnd: () => resolve(),
                onResponseError: (_, error) => reject(error),
            });
        });
        expect(steps).toEqual(["open", "start", "head"]);
    });

    // Guards against a node that ends with an unhandled error when a caller leaves while the call to the peer is opened.
    it("is cancelled when its caller leaves at any moment", async () => {
        const opening = new AbortController();
        const call = new CallStandin([]);
        const { send, peers } = createRelay(() => {
            opening.abort();
            return Promise.resolve(call);
        });
        expect(await catchError(send(opening.signal)) instanceof Error).toEqual(true);
        await new Promise(resolve => setImmediate(resolve));
        expect([call.isCancelled, peers.canReach("pool")]).toEqual([true, true]);
        const running = new AbortController();
        const runningCall = new CallStandin([head]);
        const response = await createRelay(() => Promise.resolve(runningCall)).send(running.signal);
        running.abort();
        expect(await catchError(response.body.text()) instanceof Error).toEqual(true);
        expect(runningCall.isCancelled).toEqual(true);
    });

    // Guards against a connection to a peer that is closed with all answers on it, since calls that had ended were reset as well.
    it("is not reset after its last part", async () => {
        for (const last of [{ isEnd: true }, { failure: { kind: "disconnected", reason: "cut" } }]) {
            const controller = new AbortController();
            const call = new CallStandin([head, last]);
            const response = await createRelay(() => Promise.resolve(call)).send(controller.signal);
            await catchError(response.body.text());
            controller.abort();
            response.body.destroy();
            await new Promise(resolve => setImmediate(resolve));
            expect(call.isCancelled).toEqual(false);
        }
    });
});
