import { expect } from "earl";
import { err, ok, type Result } from "neverthrow";
import { describe, it } from "node:test";
import { errors } from "undici";
import { Failure, ManualClock, type Outcome } from "../../src/common/index.js";
import type { CallerIdentity } from "../../src/entry/callerIdentity.js";
import { ResumePipeline } from "../../src/entry/resumePipeline.js";
import { createResumeToken } from "../../src/entry/resumeToken.js";
import type { EngineAnswer, EngineEvent, UpstreamFailure } from "../../src/upstream/index.js";
import type { Vm } from "../../src/world/index.js";
import { createJournal } from "../fixtures/journals.js";

const signingKey = "key";
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
const token = createResumeToken({
    requestId: "request-1",
    streamId: "stream-1",
    runner: runner.id,
    version: "v1",
    workspace: "harbour",
    application: "app",
    requestClass: "class",
    earlierLines: [],
}, signingKey);

type Resumed = Result<EngineAnswer, UpstreamFailure>;

function createFailure(outcome: Outcome, cause?: Error): Resumed {
    return err({
        outcome,
        failure: new Failure({ kind: "upstream-failed", message: "failed", remedy: "Retry.", cause }),
    });
}

function createAnswer(): Resumed {
    async function* read(): AsyncGenerator<EngineEvent> {
        yield { id: 3, data: "{}" };
        yield { id: 4, data: "[DONE]" };
    }
    return ok({ version: "v1", loadHeader: undefined, events: read() });
}

/** Resumes an answer whose engine answers as given, the last time for good. */
async function resume(resumed: readonly (() => Resumed)[]) {
    const ids: number[] = [];
    let tries = 0;
    const pipeline = new ResumePipeline({
        clock: new ManualClock(),
        journal: createJournal().journal,
        engines: {
            resume: () => {
                const result = resumed[Math.min(tries, resumed.length - 1)]();
                tries += 1;
                return Promise.resolve(result);
            },
        },
        bills: { add: () => Promise.resolve(ok(undefined)) },
        getConfiguration: () => {
            throw new Error("No bill is due.");
        },
        getUpstream: () => runner,
        signingKey,
        entry: "entry-1",
    });
    const result = await pipeline.run({
        token,
        lastId: 2,
        identity: { workspace: "harbour" } as CallerIdentity,
        sink: {
            hasStarted: false,
            start: () => {},
            write: async ({ id }) => {
                ids.push(id);
            },
            fail: () => {},
        },
        disconnectSignal: new AbortController().signal,
    });
    return { kind: result.isErr() ? result.error.failure.kind : "ok", ids, tries };
}

describe("ResumePipeline", () => {
    // Guards against callers who are told that an answer has expired which their engine holds, silent for a second.
    it("resumes an answer whose engine is silent at first", async () => {
        const silence = (): Resumed => createFailure("unknown");
        expect(await resume([silence, silence, createAnswer])).toEqual({ kind: "ok", ids: [3, 4], tries: 3 });
    });

    it("resumes an answer whose engine accepts no connection at first", async () => {
        const silence = (): Resumed => createFailure("not-run", new errors.ConnectTimeoutError());
        expect(await resume([silence, createAnswer])).toEqual({ kind: "ok", ids: [3, 4], tries: 2 });
    });

    // Guards against callers who give an answer up that they can still get.
    it("asks the caller to resume again when the engine stays silent", async () => {
        expect(await resume([() => createFailure("unknown")])).toEqual({ kind: "unavailable", ids: [], tries: 3 });
    });

    it("tells that an answer has expired which its engine does not hold", async () => {
        expect(await resume([() => createFailure("not-run")])).toEqual({ kind: "gone", ids: [], tries: 1 });
    });
});
