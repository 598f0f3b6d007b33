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
    // An overloaded site refuses a request with Retry-After. A client that retried at once would add to the overload. If
    // the wait were not counted, the report would show a shorter time to first token than the user experienced.
    it("waits for the retry delay of a refusal and counts the wait", async () => {
        const requests: number[] = [];
        const { clock, pauses, send } = createClient({
            chat: async request => {
                requests.push(clock.monotonic());
                clock.advance(5);
                if (requests.length === 1) {
                    return createRefusal(2);
                }
                request.onProgress?.(1);
                clock.advance(7);
                request.onProgress?.(2);
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

    it("gives up after the maximum number of attempts", async () => {
        const { send } = createClient({ chat: async () => createRefusal(1) }, 2);
        expect(await send(createArrival())).toEqual(expect.subset({ end: "refused", attempts: 2, outcome: "not-run" }));
    });

    it("does not retry a chat completion that was refused without the outcome not-run", async () => {
        const { send } = createClient({ chat: async () => ({ ...createRefusal(1), outcome: "unknown" }) });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "refused", attempts: 1 }));
    });

    // The connection fails while a label is printed, so it is unknown whether the print ran. A second attempt with another
    // key would print the label twice.
    it("keeps the idempotency key of a call whose answer was lost", async () => {
        const requests: ServiceCallRequest[] = [];
        const { send } = createClient({
            callService: async request => {
                requests.push(request);
                return createServiceAnswer({ status: requests.length === 1 ? 0 : 200 });
            },
        });
        expect(await send(createArrival({ work: print, number: 9 }))).toEqual(
            expect.subset({ end: "answered", attempts: 2 }),
        );
        expect(requests.map(request => request.idempotencyKey)).toEqual(["run-9", "run-9"]);
    });

    it("sends the session token of the previous answer", async () => {
        const requests: ChatCompletionRequest[] = [];
        const { send } = createClient({
            chat: async request => {
                requests.push(request);
                return createAnswer({ sessionToken: `token-${requests.length}` });
            },
        });
        for (const turn of [0, 1]) {
            await send(createArrival({ work: kitchen, session: "s", turn }));
        }
        await send(createArrival({ work: kitchen, session: "other" }));
        expect(requests.map(request => [request.session, request.sessionToken])).toEqual([
            ["run-s", undefined],
            ["run-s", "token-1"],
            ["run-other", undefined],
        ]);
    });

    // The entry that relays an answer fails halfway. With a resume token the client resumes the answer at another entry;
    // without resumption the user would see a truncated answer.
    it("resumes an interrupted answer", async () => {
        const { send } = createClient({
            chat: async () => createAnswer({ isComplete: false, resumeToken: "token" }),
        });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "answered", attempts: 1 }));
    });

    it("reports an answer as broken when it cannot be resumed", async () => {
        const { send } = createClient({ chat: async () => createAnswer({ isComplete: false }) });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "broken", status: 200 }));
    });

    it("counts a request as failed when no entry returns the addresses", async () => {
        const { send } = createClient({ getAddress: () => Promise.reject(new Error("none")) });
        expect(await send(createArrival())).toEqual(expect.subset({ end: "failed", status: 0, attempts: 3 }));
    });
});
