import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { PoolRoom } from "../../src/decisions/index.js";
import { type EventDefinition, events } from "../../src/events/index.js";
import type { Generation, UpstreamCall } from "../../src/forwarding/index.js";
import { createAnswer, createCallFailure, createForwarder, type UpstreamBehaviour } from "../fixtures/forwarders.js";
import { createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

/** Time for which two upstreams may work on one request. */
const maxBothMilliseconds = 400;

const generation: Generation = {
    model: undefined,
    promptTokens: 600,
    maxOutputTokens: 100,
    expectedOutputTokens: 40,
    parts: [{ id: "subject", tokens: 400 }, { id: "own", tokens: 200 }],
};

/** Time after which a connection that cannot be opened is given up. */
const connectMilliseconds = 400;

const fullRoom: PoolRoom = { getOccupancy: () => 1.2, getWaitMilliseconds: () => 0 };
const freeRoom: PoolRoom = { getOccupancy: () => 0.3, getWaitMilliseconds: () => 0 };

/** Creates a forwarder with an urgent route `/a/` and a less urgent one `/b/` to the same pool. */
function createSite(
    behaviour: UpstreamBehaviour,
    room: PoolRoom | undefined,
    upstreams = createUpstreams(3),
    getStopTimeLeft = (): number | undefined => undefined,
    isSent: (call: UpstreamCall) => boolean = () => true,
) {
    const routes = [
        createStreamRoute({ name: "urgent", pathPrefix: "/a/", priority: 0 }),
        createStreamRoute({ name: "less-urgent", pathPrefix: "/b/", priority: 2 }),
    ];
    const getRoutes = () => createRouteTable({ routes });
    const site = createForwarder({ behaviour, room, upstreams, getRoutes, getStopTimeLeft, isSent });
    const send = (target: string) => site.send({ target, generation, deadlineMilliseconds: 20_000 });
    const getModels = (): (string | undefined)[] => site.calls.map(({ call }) => call.model);
    const getEvents = ({ number }: EventDefinition) => site.lines.filter(line => line.event === number);
    return { ...site, send, getModels, getEvents };
}

/** Answers with the confidence that is given for the small model, and with full confidence for the large one. */
function answerWith(confidence: number): UpstreamBehaviour {
    return ({ model }) => createAnswer([`data: ${model}\n\n`], { confidence: model === "small" ? confidence : 90 });
}

function waitForAbort({ signal }: UpstreamCall): Promise<unknown> {
    return new Promise(resolve => signal.addEventListener("abort", resolve));
}

describe("ModelCascade", () => {
    // Guards against second steps of the least urgent requests that take the room of the most urgent ones.
    it("gives a doubtful answer to a less urgent caller while the pool is full", async () => {
        const { send, getModels, getEvents, metrics } = createSite(answerWith(30), fullRoom);
        expect((await send("/a/1")).chunks).toEqual(["data: large\n\n"]);
        expect((await send("/b/1")).chunks).toEqual(["data: small\n\n"]);
        expect(getModels()).toEqual(["small", "large", "small"]);
        expect(getEvents(events.poorAnswerAccepted).map(({ reason, priority }) => [reason, priority])).toEqual([
            ["room", 2],
        ]);
        expect((await metrics.poorAnswers.get()).values.map(({ value }) => value)).toEqual([1]);
    });

    // Guards against a second answer that is broken off as the node ends, where the caller could have had the first one.
    it("gives a doubtful answer if the node may stop before the better one is complete", async () => {
        for (const [stopTimeLeft, chunks] of [[5_000, ["data: small\n\n"]], [30_000, ["data: large\n\n"]]] as const) {
            const { send, getEvents } = createSite(answerWith(30), freeRoom, createUpstreams(3), () => stopTimeLeft);
            expect((await send("/a/1")).chunks).toEqual([...chunks]);
            const reasons = getEvents(events.poorAnswerAccepted).map(({ reason }) => reason);
            expect(reasons).toEqual(stopTimeLeft === 5_000 ? ["stopping"] : []);
        }
    });

    it("escalates as without a known room while there is room to spare, or the answer is almost certainly poor", async () => {
        for (const [room, confidence] of [[undefined, 30], [freeRoom, 30], [fullRoom, 10]] as const) {
            const { send, getModels, getEvents } = createSite(answerWith(confidence), room);
            await send("/a/1");
            expect((await send("/b/1")).chunks).toEqual(["data: large\n\n"]);
            expect(getModels()).toEqual(["small", "large", "small", "large"]);
            expect(getEvents(events.poorAnswerAccepted)).toEqual([]);
        }
    });

    // Guards against callers who wait behind the queue of a full pool although an answer is at hand.
    it("gives the first answer when the second has to wait for room beyond the objective", async () => {
        const room = { getOccupancy: () => 1.2, getWaitMilliseconds: () => 10_000 };
        const { send, getModels, getEvents } = createSite(answerWith(0), room);
        expect((await send("/a/1")).chunks).toEqual(["data: small\n\n"]);
        expect([getModels(), getEvents(events.escalationFailed).map(({ reason }) => reason)]).toEqual([
            ["small"],
            ["no-room"],
        ]);
    });

    // Guards against an answer that is thrown away for one of a larger model that a full upstream rejects.
    it("gives the first answer when the upstream of the second rejects it at a full pool", async () => {
        const { send, getModels, getEvents, calls } = createSite(
            call =>
                call.model === "small" ? answerWith(10)(call, createUpstreams(1)[0], 1) : createCallFailure("refused"),
            fullRoom,
        );
        const caller = await send("/a/1");
        expect([caller.chunks, caller.isComplete]).toEqual([["data: small\n\n"], true]);
        expect([getModels(), calls[0].call.signal.aborted]).toEqual([["small", "large"], false]);
        expect(getEvents(events.escalationFailed).length).toEqual(1);
    });

    // Guards against an answer that is thrown away although no upstream is left for another one.
    it("gives the first answer when no upstream is available for a second one", async () => {
        const { send, getModels, getEvents } = createSite(
            () => createAnswer(["data: small\n\n"], { confidence: 0, isLeaving: true }),
            undefined,
            createUpstreams(1),
        );
        const caller = await send("/a/1");
        expect([caller.chunks, caller.isComplete, getModels()]).toEqual([["data: small\n\n"], true, ["small"]]);
        expect(getEvents(events.poorAnswerAccepted).map(({ reason }) => reason)).toEqual(["nobody"]);
    });

    // Guards against an answer that is thrown away since the pool seemed to have room, for one that upstreams reject nevertheless.
    it("gives the first answer when upstreams reject the second although there is room to spare, and no attempt is left", async () => {
        const { send, getModels, getEvents, calls } = createSite(
            call =>
                call.model === "small" ? answerWith(10)(call, createUpstreams(1)[0], 1) : createCallFailure("refused"),
            freeRoom,
        );
        const caller = await send("/a/1");
        expect([caller.chunks, caller.isComplete]).toEqual([["data: small\n\n"], true]);
        expect([getModels(), calls[0].call.signal.aborted]).toEqual([["small", "large", "large"], false]);
        expect(getEvents(events.escalationFailed).map(({ reason }) => reason)).toEqual(["refused"]);
    });

    // Guards against an answer that is thrown away for a request that no upstream has received.
    it("gives the first answer when no connection to the upstreams of the second can be opened in time", async () => {
        for (const room of [fullRoom, freeRoom]) {
            const behaviour: UpstreamBehaviour = async (call, ...rest) => {
                if (call.model === "small") {
                    return answerWith(10)(call, ...rest);
                }
                await sleep(connectMilliseconds);
                return createCallFailure("not-sent");
            };
            const upstreams = createUpstreams(2);
            const { send, calls } = createSite(behaviour, room, upstreams, undefined, ({ model }) => model === "small");
            const caller = await send("/a/1");
            expect([caller.chunks, caller.isComplete]).toEqual([["data: small\n\n"], true]);
            expect(calls[0].call.signal.aborted).toEqual(false);
        }
    });

    // Guards against a poor answer for a caller who could have had the better one from another upstream.
    it("asks another upstream for the second answer when one rejects it and there is room to spare", async () => {
        const { send, getModels, calls } = createSite(
            (call, upstream, count) =>
                count === 2 ? createCallFailure("refused") : answerWith(10)(call, upstream, count),
            freeRoom,
        );
        expect((await send("/a/1")).chunks).toEqual(["data: large\n\n"]);
        expect([getModels(), calls[0].call.signal.aborted]).toEqual([["small", "large", "large"], true]);
    });

    // Guards against two upstreams that work on one request side by side.
    for (const [name, room] of [["full", fullRoom], ["with room to spare", freeRoom]] as const) {
        it(`cancels the first answer soon after the second one was requested, at a pool ${name}`, async () => {
            let bothMilliseconds = Number.POSITIVE_INFINITY;
            const { send, calls } = createSite(async (call, ...rest) => {
                if (call.model === "large") {
                    const requestedAt = performance.now();
                    await waitForAbort(calls[0].call);
                    bothMilliseconds = performance.now() - requestedAt;
                }
                return answerWith(10)(call, ...rest);
            }, room);
            expect((await send("/a/1")).chunks).toEqual(["data: large\n\n"]);
            expect(calls[0].call.signal.aborted).toEqual(true);
            expect(bothMilliseconds <= maxBothMilliseconds).toEqual(true);
        });
    }
});
