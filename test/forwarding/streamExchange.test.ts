import { expect } from "earl";
import { describe, it } from "node:test";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import { MessageChannel } from "node:worker_threads";
import type { Generation } from "../../src/forwarding/index.js";
import {
    CallerStandin,
    createAnswer,
    createCallerRequest,
    createCallFailure,
    createForwarder,
    type UpstreamBehaviour,
} from "../fixtures/forwarders.js";
import { blockProcess } from "../fixtures/pauses.js";
import { createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

const generation: Generation = {
    model: undefined,
    promptTokens: 600,
    maxOutputTokens: 100,
    expectedOutputTokens: 40,
    parts: [{ id: "subject", tokens: 400 }, { id: "own", tokens: 200 }],
};

function createEvent(id: number): string {
    return `id: ${id}\ndata: ${id}\n\n`;
}

function createStreamForwarder(
    behaviour: UpstreamBehaviour,
    options: Parameters<typeof createStreamRoute>[0] = {},
    crashed: readonly string[] = [],
    upstreams = createUpstreams(3),
    retryAllowance?: number,
) {
    const route = createStreamRoute(options);
    const getRoutes = () => createRouteTable({ routes: [route] });
    const site = createForwarder({
        behaviour,
        getRoutes,
        crashed: new Set(crashed),
        upstreams,
        ...retryAllowance === undefined ? {} : { retryAllowance },
    });
    const send = () => site.send({ generation, session: "session", deadlineMilliseconds: 20_000 });
    const getModels = (): (string | undefined)[] => site.calls.map(({ call }) => call.model);
    return { ...site, send, getModels };
}

describe("StreamExchange", () => {
    it("returns the small model's answer when its confidence is high", async () => {
        const { send, getModels } = createStreamForwarder(() =>
            createAnswer([createEvent(1), createEvent(2)], { confidence: 80 })
        );
        expect((await send()).chunks).toEqual([createEvent(1), createEvent(2)]);
        expect(getModels()).toEqual(["small"]);
    });

    it("discards an answer of low confidence from the small model before the caller receives any of it", async () => {
        const { send, getModels, calls } = createStreamForwarder(({ model }) =>
            createAnswer([`data: ${model}\n\n`], { confidence: model === "small" ? 20 : 90 })
        );
        const caller = await send();
        expect([caller.chunks, getModels()]).toEqual([["data: large\n\n"], ["small", "large"]]);
        expect(calls[0].call.signal.aborted).toEqual(true);
    });

    // A runner crashes in the middle of an event. The caller must receive every event once and complete, from two runners.
    it("resumes at another runner after the last complete event", async () => {
        const { send, calls } = createStreamForwarder((...[, , count]) =>
            count === 1
                ? createAnswer([createEvent(1), `${createEvent(2)}id: 3\nda`], {
                    confidence: 80,
                    breaksConnection: true,
                })
                : createAnswer([createEvent(3)], { confidence: 10 })
        );
        const caller = await send();
        expect([caller.chunks.join(""), caller.isComplete]).toEqual([
            createEvent(1) + createEvent(2) + createEvent(3),
            true,
        ]);
        expect(calls[1].call.lastEventId).toEqual("2");
        expect([calls[1].call.model, calls[0].call.signal.aborted]).toEqual(["small", true]);
    });

    // A runner stops sending after its first events while its connection stays open. Without a timeout the caller would give up.
    it("leaves a runner that becomes unresponsive in the middle of a stream", async () => {
        async function* stall(signal: AbortSignal): AsyncGenerator<Buffer> {
            yield Buffer.from(createEvent(1));
            await new Promise(resolve => signal.addEventListener("abort", resolve));
            throw new Error("aborted");
        }
        const { send, calls } = createStreamForwarder((call, ...[, count]) =>
            count === 1
                ? createAnswer([], { confidence: 80, body: stall(call.signal) })
                : createAnswer([createEvent(2)])
        );
        const caller = await send();
        expect([caller.chunks, caller.isComplete, calls.length]).toEqual([[createEvent(1), createEvent(2)], true, 2]);
    });

    describe("when its runner falls silent for longer than the pause timeout", () => {
        async function* pause(signal: AbortSignal): AsyncGenerator<Buffer> {
            yield Buffer.from(createEvent(1));
            await sleep(1_800, undefined, { signal });
            yield Buffer.from(createEvent(2));
        }
        const behave: UpstreamBehaviour = ({ signal }) => createAnswer([], { confidence: 80, body: pause(signal) });

        // Guards against an answer that is broken off halfway although its runner goes on.
        it("waits for it if the request has no attempt left", async () => {
            const { send, calls } = createStreamForwarder(behave, { maxAttempts: 1 });
            const caller = await send();
            expect([caller.chunks, caller.isComplete, caller.isAborted]).toEqual([
                [createEvent(1), createEvent(2)],
                true,
                false,
            ]);
            expect(calls.length).toEqual(1);
        });

        // Guards against an answer that is broken off halfway although its runner goes on.
        it("waits for it if no other runner takes the request", async () => {
            const { send } = createStreamForwarder(behave, { maxAttempts: 3 }, [], createUpstreams(1));
            const caller = await send();
            expect([caller.chunks, caller.isComplete, caller.isAborted]).toEqual([
                [createEvent(1), createEvent(2)],
                true,
                false,
            ]);
        });

        // Guards against an answer that is broken off halfway since the runner that was to go on with it is full.
        it("waits for it if the other runner rejects the request", async () => {
            const { send, calls } = createStreamForwarder(
                (call, upstream, count) => count === 1 ? behave(call, upstream, count) : createCallFailure("refused"),
                { maxAttempts: 2 },
            );
            const caller = await send();
            expect([caller.chunks, caller.isComplete, caller.isAborted]).toEqual([
                [createEvent(1), createEvent(2)],
                true,
                false,
            ]);
            expect([calls.length, calls[0].call.signal.aborted]).toEqual([2, false]);
        });

        // Guards against an answer that is broken off halfway since another request took the retry that was left.
        it("waits for it if the pool has no retry left", async () => {
            const { send } = createStreamForwarder(behave, { maxAttempts: 3 }, [], createUpstreams(3), 0);
            const caller = await send();
            expect([caller.chunks, caller.isComplete]).toEqual([[createEvent(1), createEvent(2)], true]);
        });

        // Guards against an answer that ends halfway although it may not be repeated and its runner goes on.
        it("waits for it if the stream may not be resumed", async () => {
            const { send, calls } = createStreamForwarder(behave, { isResumable: false });
            const caller = await send();
            expect([caller.chunks, caller.isComplete, calls.length]).toEqual([
                [createEvent(1), createEvent(2)],
                true,
                1,
            ]);
        });
    });

    describe("when its runner does not begin to answer in time", () => {
        const behave: UpstreamBehaviour = async ({ signal }) => {
            await sleep(1_800, undefined, { signal }).catch(() => undefined);
            return signal.aborted ? createCallFailure("broken") : createAnswer([createEvent(1)], { confidence: 80 });
        };

        // Guards against a request that fails although its runner is about to answer.
        it("waits for it if no other runner takes the request", async () => {
            const { send, renewed } = createStreamForwarder(behave, { maxAttempts: 3 }, [], createUpstreams(1));
            const caller = await send();
            expect([caller.refusal, caller.chunks, renewed]).toEqual([undefined, [createEvent(1)], []]);
        });

        // Guards against a request that fails since another one took the retry that was left when it was sent.
        it("waits for it if the last retry of the pool was taken meanwhile", async () => {
            const { forwarder, calls } = createStreamForwarder(
                (call, upstream, count) =>
                    call.request.id === "slow"
                        ? behave(call, upstream, count)
                        : count === 2
                        ? createCallFailure("broken")
                        : createAnswer([createEvent(1)], { confidence: 80 }),
                { maxAttempts: 3 },
                [],
                createUpstreams(3),
                2,
            );
            const callers = ["slow", "other"].map(id => {
                const caller = new CallerStandin();
                const request = createCallerRequest({ id, generation, deadlineMilliseconds: 20_000 });
                return { caller, ended: forwarder.handle(request, caller) };
            });
            await Promise.all(callers.map(({ ended }) => ended));
            expect(callers.map(({ caller }) => caller.chunks)).toEqual([[createEvent(1)], [createEvent(1)]]);
            expect(calls.map(({ call }) => call.request.id)).toEqual(["slow", "other", "other"]);
        });

        // Guards against a request that waits for a dead runner until its time is over, since no other one took it at first.
        it("asks another runner as soon as one takes the request", async () => {
            const [first, second] = createUpstreams(2);
            const { send, registry, calls } = createStreamForwarder(
                ({ signal }, { id }) =>
                    id === second.id
                        ? createAnswer([createEvent(1)], { confidence: 80 })
                        : new Promise(resolve =>
                            signal.addEventListener("abort", () => resolve(createCallFailure("broken")))
                        ),
                { maxAttempts: 3 },
                [],
                [first],
            );
            setTimeout(() => registry.set(second), 1_700);
            const caller = await send();
            expect([caller.chunks, calls.map(({ upstream }) => upstream)]).toEqual([
                [createEvent(1)],
                [first.id, second.id],
            ]);
        });
    });

    // Guards against a failure that is thrown away although nothing replaces it.
    it("passes on the failure of a runner if no other runner takes the request", async () => {
        const { send } = createStreamForwarder(
            () => createAnswer(["overheated"], { status: 500 }),
            { maxAttempts: 3 },
            [],
            createUpstreams(1),
        );
        const caller = await send();
        expect([caller.status, caller.chunks, caller.refusal]).toEqual([500, ["overheated"], undefined]);
    });

    // A caller reads slowly for longer than a runner may be silent. Guards against a sound run that is cancelled and repeated elsewhere.
    it("does not take a slow caller for a silent runner", async () => {
        const { forwarder, calls } = createStreamForwarder(() =>
            createAnswer([createEvent(1), createEvent(2)], { confidence: 80 })
        );
        const caller = new CallerStandin();
        const write = caller.write.bind(caller);
        caller.write = async piece => {
            await new Promise(resolve => setTimeout(resolve, 1_700));
            return write(piece);
        };
        await forwarder.handle(createCallerRequest({ generation, deadlineMilliseconds: 20_000 }), caller);
        expect([caller.chunks, caller.isComplete, calls.length]).toEqual([[createEvent(1), createEvent(2)], true, 1]);
        expect(calls[0].call.signal.aborted).toEqual(false);
    });

    // Guards against a sound stream that is cut off and resumed elsewhere, since this node was paused.
    it("does not take a runner for silent whose event arrived while the node was paused", async () => {
        const { port1, port2 } = new MessageChannel();
        async function* readEvents(): AsyncGenerator<Buffer> {
            yield Buffer.from(createEvent(1));
            // From here, timers run before what has arrived is read.
            await setImmediate();
            const arrived = new Promise(resolve => port2.once("message", resolve));
            port1.postMessage("event");
            blockProcess(1_500);
            await arrived;
            yield Buffer.from(createEvent(2));
        }
        const { send, calls } = createStreamForwarder(() => createAnswer([], { confidence: 80, body: readEvents() }));
        const caller = await send();
        port1.close();
        expect([caller.chunks, caller.isComplete, calls.length]).toEqual([[createEvent(1), createEvent(2)], true, 1]);
        expect(calls[0].call.signal.aborted).toEqual(false);
    });

    // Guards against a run that goes on, and a crash that is suspected, after a caller was given up.
    it("cancels the run of a caller that is given up, and blames no runner", async () => {
        const { forwarder, calls, lines } = createStreamForwarder(() =>
            createAnswer([createEvent(1), createEvent(2), createEvent(3)], { confidence: 80 })
        );
        const caller = new CallerStandin();
        caller.write = () => {
            caller.disconnect();
            return Promise.resolve();
        };
        await forwarder.handle(createCallerRequest({ generation, deadlineMilliseconds: 20_000 }), caller);
        expect([calls.length, calls[0].call.signal.aborted, caller.isComplete]).toEqual([1, true, false]);
        expect(lines.find(line => line.name === "attempt-ended")?.outcome).toEqual("cancelled");
    });

    // Guards against a sound stream that is cut, or asked for again, since its runner frames nothing.
    it("ends a stream without a known end that ended between events at a runner that outlived it", async () => {
        const { send, calls, quarantine } = createStreamForwarder(() =>
            createAnswer([createEvent(1), createEvent(2)], { confidence: 80, hasKnownEnd: false })
        );
        const caller = await send();
        expect([caller.chunks.join(""), caller.isComplete, caller.hasStatedEnd, calls.length]).toEqual([
            createEvent(1) + createEvent(2),
            true,
            false,
            1,
        ]);
        expect(quarantine.countQuarantined()).toEqual(0);
    });

    // Guards against half a stream that passes for a whole one since nobody else may be asked for the rest of it.
    it("breaks a stream off whose runner has not outlived its end, if no other one is asked", async () => {
        for (const options of [{ maxAttempts: 1 }, { isResumable: false }]) {
            const { send, calls } = createStreamForwarder(
                () => createAnswer([createEvent(1)], { confidence: 80, hasKnownEnd: false }),
                options,
                ["u1", "u2", "u3"],
            );
            const caller = await send();
            expect([caller.isComplete, caller.isAborted, calls.length]).toEqual([false, true, 1]);
        }
    });

    // Guards against half a stream that passes for a whole one since its runner was back before the end was read.
    it("asks for the rest of a stream without a known end whose runner has started anew by its record", async () => {
        const restarted = createUpstreams(3).map(upstream => ({ ...upstream, id: `${upstream.id}-again` }));
        const site = createStreamForwarder((_, upstream, count) => {
            if (count > 1) {
                return createAnswer([createEvent(2)], { confidence: 80 });
            }
            const { address } = upstream;
            site.registry.set(restarted.find(one => one.address === address)!);
            return createAnswer([createEvent(1)], { confidence: 80, hasKnownEnd: false });
        });
        const caller = await site.send();
        expect([caller.chunks.join(""), site.calls.length]).toEqual([createEvent(1) + createEvent(2), 2]);
        const outcomes = site.lines.filter(line => line.name === "attempt-ended").map(line => line.outcome);
        expect(outcomes).toEqual(["ok", "ok"]);
    });

    // Guards against a request that goes on crashing runners, as their streams end in order.
    it("counts the crash of a runner whose stream without a known end ended in order", async () => {
        const { send, lines } = createStreamForwarder(
            () => createAnswer([createEvent(1)], { confidence: 80, hasKnownEnd: false }),
            { maxAttempts: 2 },
            ["u1", "u2", "u3"],
        );
        await send();
        const crashes = lines.filter(({ name }) => name === "upstream-crashed");
        expect([crashes.length, new Set(crashes.map(({ upstream }) => upstream)).size]).toEqual([2, 2]);
    });

    describe("a stream whose first part had a known end and whose rest has none", () => {
        const answerParts = (third: readonly string[], hasKnownEnd: boolean): UpstreamBehaviour => (...[, , count]) => {
            const parts = [
                createAnswer([createEvent(1)], { confidence: 80, breaksConnection: true }),
                createAnswer([createEvent(2)], { confidence: 80, hasKnownEnd: false }),
            ];
            return parts.at(count - 1) ?? createAnswer(third, { confidence: 80, hasKnownEnd });
        };

        // Guards against a part that is framed as complete although its runner has not said so.
        it("is complete if another runner has nothing more, and goes on otherwise", async () => {
            for (const [third, hasKnownEnd] of [[[], true], [[], false], [[createEvent(3)], true]] as const) {
                const { send, calls } = createStreamForwarder(answerParts(third, hasKnownEnd), { maxAttempts: 4 });
                const caller = await send();
                expect([caller.chunks.join(""), caller.isComplete, caller.hasStatedEnd]).toEqual([
                    [createEvent(1), createEvent(2), ...third].join(""),
                    true,
                    true,
                ]);
                expect(calls.map(({ call }) => call.lastEventId)).toEqual([undefined, "1", "2"]);
            }
        });

        // Guards against a whole answer that is cut since all runners were asked before.
        it("is complete if its own runner has nothing more, where no other one can be asked", async () => {
            for (const [third, hasKnownEnd] of [[[], true], [[], false], [[createEvent(3)], true]] as const) {
                const { send, calls } = createStreamForwarder(answerParts(third, hasKnownEnd), { maxAttempts: 2 });
                const caller = await send();
                expect([caller.chunks.join(""), caller.isComplete, caller.isAborted]).toEqual([
                    [createEvent(1), createEvent(2), ...third].join(""),
                    true,
                    false,
                ]);
                expect(calls.map(({ call }) => call.lastEventId)).toEqual([undefined, "1", "2"]);
                expect(calls[2].upstream).toEqual(calls[1].upstream);
            }
        });

        // Guards against a runner that is asked again and again.
        it("is broken off if nobody can be asked, or its own runner has more without an end", async () => {
            const endless: UpstreamBehaviour = (...[, , count]) =>
                createAnswer([createEvent(count)], count === 1 ? { breaksConnection: true } : { hasKnownEnd: false });
            const more = createStreamForwarder(endless, { maxAttempts: 2 });
            const caller = await more.send();
            expect([caller.isAborted, caller.isComplete, more.calls.length]).toEqual([true, false, 4]);
            for (const kind of ["not-sent", "refused", "disconnected"] as const) {
                const { send, calls } = createStreamForwarder(
                    (...parameters) =>
                        parameters[2] > 2 ? createCallFailure(kind) : answerParts([], true)(...parameters),
                    { maxAttempts: 2 },
                );
                const refused = await send();
                expect([refused.isAborted, refused.isComplete, calls.length]).toEqual([true, false, 3]);
            }
        });

        // Guards against half an answer that is framed as complete, since the runner that was asked for the rest crashed before its first event.
        it("is broken off if its runner has crashed and nobody else has more", async () => {
            for (const maxAttempts of [2, 3, 4]) {
                const { send, calls } = createStreamForwarder(answerParts([], false), { maxAttempts }, [
                    "u1",
                    "u2",
                    "u3",
                ]);
                const caller = await send();
                expect([caller.isAborted, caller.isComplete, calls.length]).toEqual([
                    true,
                    false,
                    Math.min(maxAttempts, 3),
                ]);
            }
        });
    });

    // Guards against a truncated stream that looks complete to its caller.
    it("resumes a stream without a known end that ended inside an event, or whose runner has crashed", async () => {
        for (
            const [chunk, crashed] of [[`${createEvent(1)}id: 2\nda`, []], [createEvent(1), [
                "u1",
                "u2",
                "u3",
            ]]] as const
        ) {
            const { send, calls } = createStreamForwarder(
                (...[, , count]) =>
                    count === 1
                        ? createAnswer([chunk], { confidence: 80, hasKnownEnd: false })
                        : createAnswer([createEvent(2)], { confidence: 80 }),
                {},
                crashed,
            );
            const caller = await send();
            expect([caller.chunks.join(""), caller.isComplete]).toEqual([createEvent(1) + createEvent(2), true]);
            expect(calls.map(({ call }) => call.lastEventId)).toEqual([undefined, "1"]);
        }
    });

    it("aborts the connection when a stream without a known end that cannot be resumed ended inside an event", async () => {
        const { send } = createStreamForwarder(
            () => createAnswer([`${createEvent(1)}id: 2\nda`], { confidence: 80, hasKnownEnd: false }),
            { isResumable: false },
        );
        const caller = await send();
        expect([caller.chunks.join(""), caller.isAborted, caller.isComplete]).toEqual([createEvent(1), true, false]);
    });

    it("aborts the connection when a stream cannot be resumed", async () => {
        const broken = createStreamForwarder(
            () => createAnswer([createEvent(1)], { confidence: 80, breaksConnection: true }),
            {
                maxAttempts: 1,
            },
        );
        const caller = await broken.send();
        expect([caller.isComplete, caller.isAborted]).toEqual([false, true]);
    });

    it("does not resume a stream whose route does not allow it", async () => {
        const { send, calls } = createStreamForwarder(
            () => createAnswer([createEvent(1)], { confidence: 80, breaksConnection: true }),
            { isResumable: false },
        );
        expect([(await send()).isAborted, calls.length]).toEqual([true, 1]);
    });

    it("reports that a request has not run when every runner is full", async () => {
        const { send } = createStreamForwarder(() => createCallFailure("refused"));
        expect((await send()).refusal?.outcome).toEqual("not-run");
    });
});
