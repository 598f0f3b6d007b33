import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { type Arrival, LoadClient, type LoadRecord, type SiteTransport } from "../../src/load/index.js";
import type { ChatCompletionRequest, ServiceCallRequest } from "../../src/testbench/index.js";
import { createProfile } from "../fixtures/loadProfiles.js";
import { createAnswer, createRefusal, createServiceAnswer, createTransport } from "../fixtures/loadTransports.js";

const [plan, kitchen, print] = createProfile().works;

function createArrival(changes: Partial<Arrival> = {}): Arrival {
    return { at: 0, work: plan, number: 1, history: 0, session: undefined, turn: 0, ...changes };
}

function createClient(transport: Partial<SiteTransport>, maxAttempts = 3) {
    const clock = new ManualClock();
    const pauses: number[] = [];
    const client = new LoadClient({
        transport: createTransport(transport),
        clock,
        settings: { boundMilliseconds: 1000, tries: maxAttempts },
        runId: "run",
        sleep: async milliseconds => {
            pauses.push(milliseconds);
            clock.advance(milliseconds);
        },
    });
    const send = (arrival: Arrival): Promise<LoadRecord> => client.send(arrival, 0);
    return { clock, pauses, send };
}

describe("LoadClient.send", () => {
    // The site has more work than capacity and says when to come back. A caller who came back at once would add to the
    // overload; one whose wait were left out of the figures would seem to have had its answer early.
    it("waits as long as a refusal says and counts the wait", async () => {
        const requests: number[] = [];
        const { clock, pauses, send } = createClient({
            chat: async ask => {
                requests.push(clock.monotonic());
                clock.advance(5);
                if (requests.length === 1) {
                    return createRefusal(2);
                }
                ask.onProgress?.(1);
                clock.advance(7);
                ask.onProgress?.(2);
                return createAnswer();
            },
        });
        const record = await send(createArrival());
        expect(pauses).toEqual([2000]);
        expect(record).toEqual(expect.subset({
            end: "answered",
            attempts: 2,
            firstTokenMilliseconds: 2010,
            milliseconds: 2017,
            gaps: [7],
            refusals: [5],
        }));
    });

    it("has no first token for an answer that is not streamed", async () => {
        const { clock, send } = createClient({
            chat: async () => {
                clock.advance(40);
                return createAnswer();
            },
        });
        expect(await send(createArrival({ work: { ...plan, streamed: false } }))).toEqual(
            expect.subset({ firstTokenMilliseconds: undefined, milliseconds: 40 }),
        );
    });

    it("gives up after as many tries as it may make", async () => {
        const { send } = createClient({ chat: async () => createRefusal(1) }, 2);
        expect(await send(createArrival())).toEqual(expect.subset({ end: "refused", attempts: 2, outcome: "not-run" }));
    });

    it("does not repeat a chat completion of which the site does not say that it was not run", async () => {
        const { send } = createClient({ chat: async () => ({ ...createRefusal(1), outcome: "unknown" }) });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "refused", attempts: 1 }));
    });

    // The connection breaks while a label is printed, and nobody knows whether it was. A second try under another key would
    // print the label twice.
    it("keeps the idempotency key of a call whose answer was lost", async () => {
        const requests: ServiceCallRequest[] = [];
        const { send } = createClient({
            callService: async ask => {
                requests.push(ask);
                return createServiceAnswer({ status: requests.length === 1 ? 0 : 200 });
            },
        });
        expect(await send(createArrival({ work: print, number: 9 }))).toEqual(
            expect.subset({ end: "answered", attempts: 2 }),
        );
        expect(requests.map(ask => ask.idempotencyKey)).toEqual(["run-9", "run-9"]);
    });

    it("shows the session token of the answer before", async () => {
        const requests: ChatCompletionRequest[] = [];
        const { send } = createClient({
            chat: async ask => {
                requests.push(ask);
                return createAnswer({ sessionToken: `token-${requests.length}` });
            },
        });
        for (const turn of [0, 1]) {
            await send(createArrival({ work: kitchen, session: "s", turn }));
        }
        await send(createArrival({ work: kitchen, session: "other" }));
        expect(requests.map(ask => [ask.session, ask.sessionToken])).toEqual([
            ["run-s", undefined],
            ["run-s", "token-1"],
            ["run-other", undefined],
        ]);
    });

    // The entry that relays an answer stops halfway. A caller that holds a resume token takes the answer up elsewhere.
    it("takes up an answer that broke off", async () => {
        const { send } = createClient({
            chat: async () => createAnswer({ isComplete: false, resumeToken: "token" }),
        });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "answered", attempts: 1 }));
    });

    it("calls an answer broken that nobody can complete", async () => {
        const { send } = createClient({ chat: async () => createAnswer({ isComplete: false }) });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "broken", status: 200 }));
    });

    it("counts a request as failed when no entry tells the addresses", async () => {
        const { send } = createClient({ getAddress: () => Promise.reject(new Error("none")) });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "failed", status: 0, attempts: 3 }));
    });
});
