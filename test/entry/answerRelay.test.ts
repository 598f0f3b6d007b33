import { expect } from "earl";
import { err, ok, type Result } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, type Outcome } from "../../src/common/index.js";
import { relayAnswer } from "../../src/entry/answerRelay.js";
import type { EngineAnswer, EngineEvent, UpstreamFailure } from "../../src/upstream/index.js";
import type { Vm } from "../../src/world/index.js";

const runner: Vm = {
    id: "vm-1",
    address: "127.0.0.1",
    port: 1,
    role: "runner",
    pool: "pool",
    failureDomain: "north",
    region: "south",
    state: "live",
};

function createFailure(outcome: Outcome): UpstreamFailure {
    return { outcome, failure: new Failure({ kind: "upstream-failed", message: "failed", remedy: "Retry." }) };
}

/** Creates an answer with events up to a number, after which its connection breaks unless the answer is complete. */
function createAnswer(first: number, last: number, isComplete: boolean): EngineAnswer {
    async function* read(): AsyncGenerator<EngineEvent> {
        for (let id = first; id <= last; id += 1) {
            yield { id, data: "{}" };
        }
        if (!isComplete) {
            throw new Error("other side closed");
        }
    }
    return { version: "v1", loadHeader: undefined, events: read() };
}

/** Relays an answer that breaks after its second event, and whose resumptions end as given. */
async function relay(resumptions: Result<EngineAnswer, UpstreamFailure>[]) {
    const ids: number[] = [];
    let resumeCount = 0;
    const relayed = await relayAnswer({
        engines: {
            resume: () => {
                resumeCount += 1;
                return Promise.resolve(resumptions.shift()!);
            },
        },
        runner,
        streamId: "stream",
        answer: createAnswer(1, 2, false),
        lastId: 0,
        signal: new AbortController().signal,
        onFirstEvent: () => undefined,
        write: async event => {
            ids.push(event.id);
        },
        beforeEnd: () => Promise.resolve(ok(undefined)),
    });
    return { isComplete: relayed.isOk(), ids, resumeCount };
}

describe("relayAnswer", () => {
    // Guards against an answer that is broken off since its engine answers nothing for a second after a connection broke.
    it("resumes an answer at an engine that does not answer the first resumption", async () => {
        const relayed = await relay([err(createFailure("unknown")), ok(createAnswer(3, 4, true))]);
        expect(relayed).toEqual({ isComplete: true, ids: [1, 2, 3, 4], resumeCount: 2 });
    });

    it("gives up an answer after three resumptions without an answer", async () => {
        const relayed = await relay([1, 2, 3].map(() => err(createFailure("unknown"))));
        expect(relayed).toEqual({ isComplete: false, ids: [1, 2], resumeCount: 3 });
    });

    it("does not resume an answer that its engine does not hold any more", async () => {
        const relayed = await relay([err(createFailure("not-run"))]);
        expect(relayed).toEqual({ isComplete: false, ids: [1, 2], resumeCount: 1 });
    });
});
