import { expect } from "earl";
import { describe, it } from "node:test";
import { errors } from "undici";
import { AnswerBuffers } from "../../src/forwarding/index.js";
import { createAnswer, createEndlessAnswer, createForwarder, type UpstreamBehaviour } from "../fixtures/forwarders.js";
import { createRoute, createRouteTable } from "../fixtures/routes.js";

const maxAnswerBytes = 64 * 1024;
const piece = "x".repeat(1024);

type Kind = "idempotent" | "at-most-once" | "stream";

interface SiteOptions {
    readonly maxAttempts?: number;
    readonly status?: number;
    /** Upstreams that refuse connections after their answers. */
    readonly crashed?: ReadonlySet<string>;
    /** Replaces the body without an end. */
    readonly body?: (() => AsyncIterable<Buffer>) | undefined;
}

/** Fails as the HTTP library does when the trailers of an answer have no end. */
async function* createEndlessTrailers(): AsyncGenerator<Buffer> {
    yield Buffer.from("id: 1\n");
    await Promise.resolve();
    throw new errors.HeadersOverflowError();
}

/** Creates a forwarder whose first call gets an answer without an end, and the others a short one. */
function createSite(kind: Kind, endless: string, { maxAttempts = 2, status = 200, crashed, body }: SiteOptions = {}) {
    const route = createRoute({ kind, maxAttempts, isResumable: kind === "stream", timeoutMilliseconds: 30_000 });
    const behaviour: UpstreamBehaviour = (call, ...[, count]) =>
        count === 1
            ? createEndlessAnswer(call, endless, { status, ...body && { body: body() } })
            : createAnswer(["id: 2\ndata: b\n\n"]);
    return createForwarder({
        getRoutes: () => createRouteTable({ routes: [route] }),
        maxAnswerBytes,
        behaviour,
        crashed,
    });
}

function readAttempts(site: ReturnType<typeof createForwarder>) {
    return site.lines.filter(line => line.name === "attempt-ended").map(({ outcome }) => outcome);
}

describe("answers without an end", () => {
    // Guards against a node that collects the body of an answer until its memory is used up.
    it("are given up where the request may be repeated, and it is answered by another upstream", async () => {
        const site = createSite("idempotent", piece);
        const caller = await site.send();
        expect([caller.status, caller.chunks.length, readAttempts(site)]).toEqual([200, 1, ["failed", "ok"]]);
        expect([site.oversized, site.answerBuffers.getHeldBytes()]).toEqual([[site.calls[0].upstream], 0]);
        expect(site.calls[0].call.signal.aborted).toEqual(true);
    });

    it("are given up in failures as well", async () => {
        const site = createSite("idempotent", piece, { status: 500 });
        const caller = await site.send();
        expect([caller.status, readAttempts(site)]).toEqual([200, ["failed", "ok"]]);
    });

    // Guards against a booking that is made twice, or is reported as not run, since its answer had no end.
    it("are reported as failures of a request that has run where it may not be repeated", async () => {
        const site = createSite("at-most-once", piece, { maxAttempts: 1 });
        const { refusal } = await site.send();
        expect([refusal?.failure.kind, refusal?.outcome, site.calls.length]).toEqual(["upstream-failed", "ran", 1]);
    });

    // Guards against an event that is collected until the memory of the node is used up.
    for (const endless of [piece, "data: line\n"]) {
        it(`are resumed after their last event when an event of ${JSON.stringify(endless.slice(0, 11))} has no end`, async () => {
            const site = createSite("stream", endless.repeat(Math.ceil(piece.length / endless.length)));
            const caller = await site.send();
            expect([caller.chunks, caller.isComplete]).toEqual([["id: 2\ndata: b\n\n"], true]);
            expect([readAttempts(site), site.oversized.length]).toEqual([["failed", "ok"], 1]);
        });
    }

    it("break off a stream that cannot be resumed", async () => {
        const site = createSite("stream", piece, { maxAttempts: 1 });
        const caller = await site.send();
        expect([caller.isAborted, caller.isComplete, caller.chunks]).toEqual([true, false, []]);
    });

    // Guards against a stream that is broken off since it lasts.
    it("are passed on as long as their events end", async () => {
        const site = createSite("stream", `data: ${piece}\n\n`);
        const caller = await site.send();
        expect([caller.isComplete, caller.chunks.length, site.oversized]).toEqual([true, 2_000, []]);
    });

    // Guards against a crash that is recorded against a request since its upstream restarts shortly after.
    for (const kind of ["idempotent", "stream"] as const) {
        for (const [name, body] of Object.entries({ body: undefined, trailers: createEndlessTrailers })) {
            it(`are no crashes of their upstreams (${kind}, ${name})`, async () => {
                const site = createSite(kind, piece, { body, crashed: new Set(["u1", "u2", "u3"]) });
                expect([(await site.send()).status, site.calls.length]).toEqual([200, 2]);
                expect(site.lines.filter(line => line.name === "upstream-crashed")).toEqual([]);
            });
        }
    }
});

describe("AnswerBuffers", () => {
    // Guards against a sound answer that is given up for another one without an end.
    it("gives up the largest answers until the rest fits", () => {
        const givenUp: string[] = [];
        const onOversized = (upstream: string, bytes: number): number => givenUp.push(`${upstream} ${bytes}`);
        const buffers = new AnswerBuffers({ getMaxNodeBytes: () => 100, onOversized });
        const [sound, endless, other] = ["sound", "endless", "other"].map(id => buffers.add(id, () => {}));
        sound.hold(40);
        endless.hold(50);
        other.hold(11);
        expect([givenUp, buffers.getHeldBytes()]).toEqual([["endless 50"], 51]);
        expect([sound, endless, other].map(({ isGivenUp }) => isGivenUp)).toEqual([false, true, false]);
        endless.hold(1_000);
        sound.close();
        other.hold(0);
        expect(buffers.getHeldBytes()).toEqual(0);
    });
});
