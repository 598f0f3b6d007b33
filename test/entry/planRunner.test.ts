import { expect } from "earl";
import { err, ok } from "neverthrow";
import { describe, it } from "node:test";
import type { Bill } from "../../src/bills/index.js";
import { Failure, ManualClock } from "../../src/common/index.js";
import type { AttemptOptions } from "../../src/entry/attempt.js";
import type { ChatCall } from "../../src/entry/chatCall.js";
import { createMetrics } from "../../src/entry/metrics.js";
import { PlanRunner } from "../../src/entry/planRunner.js";
import { events } from "../../src/events/index.js";
import { endOfStream } from "../../src/upstream/index.js";
import type { ModelVersion } from "../../src/world/index.js";
import { createJournal } from "../fixtures/journals.js";

/** Answers that score less are not accepted. */
const acceptScore = 0.9;
const usage = { inputTokens: 10, cachedTokens: 0, outputTokens: 5 };

function createVersion(id: string): ModelVersion {
    return { id, model: id, status: "serving", inputPrice: 1, outputPrice: 1, expectedQuality: 0.5 };
}

/** Creates the data of a piece of text. */
function createPiece(text: string): string {
    return JSON.stringify({ choices: [{ delta: { content: text } }] });
}

/** What a version does; without a score it fails, after its answer has started if `startsAnswer` is set. */
interface Behaviour {
    readonly score?: number;
    readonly startsAnswer?: boolean;
    readonly onFail?: (call: AbortController) => void;
}

/** Runs a cascade of versions that behave as given; all but the last one are rated. */
async function run(behaviours: readonly Behaviour[]) {
    const { journal, lines } = createJournal();
    const written: string[] = [];
    const bills: Bill[] = [];
    let hasStarted = false;
    const disconnection = new AbortController();
    const call = {
        requestId: "request-1",
        workspace: "harbour",
        application: "app",
        requestClass: "class",
        session: undefined,
        settings: { deadlineMilliseconds: 20_000, firstTokenMilliseconds: 900 },
        request: { promptText: "question" },
        sink: {
            get hasStarted() {
                return hasStarted;
            },
            start: (headers: Readonly<Record<string, string>>) => {
                hasStarted = true;
                written.push(headers.version);
            },
            write: async (event: { readonly data: string; }) => {
                written.push(event.data);
            },
            fail: () => {},
        },
        arrivedAt: 0,
        disconnectSignal: disconnection.signal,
        deadlineSignal: new AbortController().signal,
    } as unknown as ChatCall;
    const runner = new PlanRunner({
        clock: new ManualClock(),
        journal,
        metrics: createMetrics(),
        attemptRunner: {
            run: async ({ version, stepIndex, direct, write, writeEnd, beforeEnd }: AttemptOptions) => {
                const { score, startsAnswer, onFail } = behaviours[stepIndex];
                const headers = { version: version.id };
                if (direct && (score !== undefined || startsAnswer === true)) {
                    call.sink.start(headers);
                }
                if (score === undefined) {
                    onFail?.(disconnection);
                    const failure = new Failure({ kind: "upstream-failed", message: "failed", remedy: "Retry." });
                    return err({ failure, outcome: "unknown" });
                }
                await write({ id: 1, data: createPiece(version.id) });
                await beforeEnd(usage);
                await writeEnd({ id: 2, data: endOfStream });
                return ok({ usage, firstTokenMilliseconds: 10, milliseconds: 20, headers });
            },
        },
        ratings: {
            rate: async ({ version }) => {
                return ok(behaviours.find((_, index) => version === `v${index}`)?.score ?? 0);
            },
        },
        evidence: { addAnswer: () => {}, addEscalation: () => {}, addRating: () => {} },
        answerTimes: { add: () => {}, addRating: () => {} },
        bills: {
            add: async bill => {
                bills.push(bill);
                return ok(undefined);
            },
        },
        explanations: { addRating: () => {} },
        entry: "entry-1",
        isSampled: () => false,
    });
    const steps = behaviours.map((_, index) => ({
        version: createVersion(`v${index}`),
        acceptScore: index === behaviours.length - 1 ? undefined : acceptScore,
    }));
    const result = await runner.run(call, {
        steps,
        expectedCost: 1,
        expectedQuality: 1,
        isExploring: false,
        reason: "test",
    });
    return {
        outcome: result.isOk() ? "ok" : result.error.outcome,
        written,
        billed: bills.map(bill => bill.lines.map(({ version }) => version)),
        kept: lines.filter(({ event }) => event === events.escalationFailed.number).length,
    };
}

describe("PlanRunner", () => {
    // Guards against callers who get nothing, though a complete answer was at hand that a later version should replace.
    it("gives the answer that was not accepted when the next version fails", async () => {
        expect(await run([{ score: 0.5 }, {}])).toEqual({
            outcome: "ok",
            written: ["v0", createPiece("v0"), endOfStream],
            billed: [["v0"]],
            kept: 1,
        });
    });

    it("gives the best of several answers that were not accepted", async () => {
        expect(await run([{ score: 0.5 }, { score: 0.4 }, {}])).toEqual({
            outcome: "ok",
            written: ["v0", createPiece("v0"), endOfStream],
            billed: [["v0", "v1"]],
            kept: 1,
        });
    });

    it("gives the answer of the next version if there is one", async () => {
        expect(await run([{ score: 0.5 }, { score: 0.6 }])).toEqual({
            outcome: "ok",
            written: ["v1", createPiece("v1"), endOfStream],
            billed: [["v0", "v1"]],
            kept: 0,
        });
    });

    // Guards against pieces of two answers in one.
    it("does not join an answer that has started with one that was not accepted", async () => {
        expect(await run([{ score: 0.5 }, { startsAnswer: true }])).toEqual({
            outcome: "ran",
            written: ["v1"],
            billed: [],
            kept: 0,
        });
    });

    it("bills no answer that was kept for a caller who has left", async () => {
        expect(await run([{ score: 0.5 }, { onFail: caller => caller.abort() }])).toEqual({
            outcome: "ran",
            written: [],
            billed: [],
            kept: 0,
        });
    });
});
