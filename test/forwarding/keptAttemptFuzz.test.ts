import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource, systemClock } from "../../src/common/index.js";
import {
    CallerStandin,
    createAnswer,
    createCallerRequest,
    createCallFailure,
    createForwarder,
    type UpstreamBehaviour,
} from "../fixtures/forwarders.js";
import { addCrashes, createQuarantine } from "../fixtures/quarantines.js";
import { createRoute, createRouteTable, createStreamRoute } from "../fixtures/routes.js";
import { createUpstreams } from "../fixtures/upstreams.js";

const requestCount = Number(process.env.COUNT ?? 600);
const seed = Number(process.env.SEED ?? 1);
const deadline = 4_000;
const kinds = ["broken", "disconnected", "refused", "not-sent", "no-room", "replaced"] as const;

function run(index: number) {
    const random = new RandomSource(seed * 100_000 + index);
    const draw = (count: number): number => Math.floor(random.next() * count);
    const kind = ["call", "stream", "unsafe", "unresumable", "cascade"][draw(5)];
    const maxAttempts = 1 + draw(4);
    const options = { maxAttempts, timeoutMilliseconds: deadline };
    const route = kind === "call"
        ? createRoute(options)
        : kind === "unsafe"
        ? createRoute({ ...options, kind: "at-most-once" })
        : kind === "unresumable"
        ? createStreamRoute({ ...options, isResumable: false, models: [] })
        : createStreamRoute({ ...options, models: kind === "cascade" ? ["small", "large"] : [] });
    // A coarse grid, so that things happen in the same turn of the event loop.
    const times = [0, 1, 100, 200, 400, 800, 1_000, 1_400, 1_600, 1_650, 1_800, 2_000, 2_200, 2_400, 2_800, 9_000, 9_000, 9_000];
    const open = new Map<number, string>();
    const problems: string[] = [];
    const bodies = new Map<number, "unread" | "done">();
    const calls: { readonly signal: AbortSignal; readonly upstream: string; readonly model: string | undefined; }[] = [];
    let hasLeft = false;
    let readyAt = Number.POSITIVE_INFINITY;
    let handledAt = 0;
    const caller = new CallerStandin();
    const behaviour: UpstreamBehaviour = async ({ signal, model, lastEventId }, upstream, count) => {
        calls.push({ signal, upstream: upstream.id, model });
        if (hasLeft) {
            problems.push(`call ${count} after the caller has left`);
        }
        if (signal.aborted) {
            problems.push(`call ${count} is sent aborted`);
        }
        const milliseconds = times[draw(times.length)];
        const what = draw(10);
        const status = [200, 200, 200, 500, 503, 404, 429][draw(7)];
        const confidence = draw(100);
        const bodyMilliseconds = [0, 0, 0, 50, 400, 1_000, 9_000][draw(7)];
        const breaks = draw(5) === 0;
        const hasKnownEnd = draw(5) !== 0;
        open.set(count, upstream.id);
        if (open.size > 2 || (open.size > 1 && (kind === "unsafe" || kind === "unresumable"))) {
            problems.push(`${open.size} calls at once`);
        }
        signal.addEventListener("abort", () => open.delete(count));
        await sleep(milliseconds, undefined, { signal }).catch(() => undefined);
        open.delete(count);
        if (signal.aborted) {
            return createCallFailure("broken");
        }
        if (what < 4) {
            return createCallFailure(kinds[draw(kinds.length)]);
        }
        bodies.set(count, "unread");
        if (status === 200 && bodyMilliseconds === 0 && !breaks && hasKnownEnd) {
            readyAt = Math.min(readyAt, performance.now());
        }
        async function* read(): AsyncGenerator<Buffer> {
            try {
                const first = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
                for (let part = first; part < 3; part += 1) {
                    if (part > first) {
                        await sleep(bodyMilliseconds, undefined, { signal });
                    }
                    yield Buffer.from(`id: ${part}\ndata: ${count}\n\n`);
                }
                if (breaks) {
                    throw new Error("other side closed");
                }
            }
            finally {
                bodies.set(count, "done");
            }
        }
        signal.addEventListener("abort", () => bodies.set(count, "done"));
        return createAnswer([], { status, confidence, hasKnownEnd, body: read() });
    };
    const crashed = new Set(draw(3) === 0 ? createUpstreams(6).slice(0, 3).map(({ id }) => id) : []);
    const fixture = createForwarder({
        behaviour,
        getRoutes: () => createRouteTable({ routes: [route] }),
        upstreams: createUpstreams(2 + draw(5)),
        crashed,
        quarantine: createQuarantine({ clock: systemClock }).quarantine,
        probeMilliseconds: [0, 1, 100, 500][draw(4)],
        retryAllowance: [0, 2, 3, 100][draw(4)],
        onStart: () => {
            counts.started += 1;
            return { onHead: () => {}, onPause: () => {}, onEnd: () => void (counts.ended += 1) };
        },
    });
    const counts = { started: 0, ended: 0 };
    if (draw(4) === 0) {
        setTimeout(() => {
            const line = fixture.lines.find(({ fingerprint }) => fingerprint !== undefined);
            if (line !== undefined) {
                addCrashes(fixture.quarantine, String(line.fingerprint), 3);
            }
        }, 1_000 + 100 * draw(25));
    }
    const leaves = draw(6);
    if (leaves === 0) {
        setTimeout(() => {
            hasLeft = true;
            caller.disconnect();
        }, 1_000 + 100 * draw(25));
    }
    else if (leaves === 1) {
        setTimeout(() => fixture.forwarder.stop(), 1_000 + 100 * draw(25));
    }
    return fixture.forwarder.handle(
        createCallerRequest({
            id: `request-${index}`,
            deadlineMilliseconds: deadline,
            generation: kind === "cascade"
                ? {
                    model: undefined,
                    promptTokens: 600,
                    maxOutputTokens: 100,
                    expectedOutputTokens: 40,
                    parts: [{ id: "subject", tokens: 400 }, { id: "own", tokens: 200 }],
                }
                : undefined,
        }),
        caller,
    ).then(async () => {
        handledAt = performance.now();
        await sleep(1_500);
        const ended = fixture.lines.filter(({ name }) => name === "attempt-ended");
        if (ended.length !== calls.length || counts.started !== calls.length || counts.ended !== calls.length) {
            problems.push(`${calls.length} calls, ${counts.started} started, ${counts.ended} ended, ${ended.length} lines`);
        }
        if (open.size > 0) {
            problems.push("open calls");
        }
        for (const [count, state] of bodies) {
            if (state !== "done") {
                problems.push(`body of ${count} not released`);
            }
        }
        const sentTo = calls.map(({ upstream, model }) => `${upstream} ${model ?? ""}`);
        if (new Set(sentTo).size < sentTo.length) {
            problems.push(`sent twice to one upstream: ${sentTo.join(", ")}`);
        }
        const { refusal } = caller;
        const mayHaveRun = ended.some(({ reason, headMs }) =>
            headMs !== undefined || (reason === "broken" || reason === "disconnected" || reason === "no answer in time"));
        if (refusal?.outcome === "not-run" && mayHaveRun) {
            problems.push("refused as not run");
        }
        if (!hasLeft && refusal === undefined && !caller.isComplete && !caller.isAborted) {
            problems.push("no answer");
        }
        const waited = handledAt - readyAt;
        if (kind !== "cascade" && waited > 700) {
            problems.push(`whole answer at hand for ${Math.round(waited / 100) * 100} ms`);
        }
        const data = caller.chunks.join("");
        if (caller.isComplete && caller.status === 200 && route.kind === "stream") {
            const ids = [...data.matchAll(/id: (\d)/gu)].map(([, id]) => id).join("");
            if (ids !== "012" && caller.hasCompleteFraming) {
                problems.push(`events ${ids}`);
            }
        }
        return { index, kind, maxAttempts, problems, lines: fixture.lines, calls: calls.length, escalated: new Set(calls.map(({ model }) => model)).size > 1, kept: fixture.lines.some(({ reason }) => reason === "an earlier attempt goes on") };
    });
}

describe("requests with kept attempts", () => {
    it("end all of their attempts, in whatever order things happen", async () => {
        const results = await Promise.all(Array.from({ length: requestCount }, (_, index) => run(index)));
        const failed = results.filter(({ problems }) => problems.length > 0);
        console.log("runs", results.length, "withdrawn", results.filter(({ kept }) => kept).length, "escalated", results.filter(({ escalated }) => escalated).length, "failed", failed.length);
        for (const { index, kind, maxAttempts, problems, lines } of failed.slice(0, Number(process.env.SHOW ?? 6))) {
            console.log(JSON.stringify({ index, kind, maxAttempts, problems }));
            for (const line of lines) {
                const { name, attempt, upstream, outcome, reason, startedMs, headMs, wholeMs } = line;
                console.log("   ", JSON.stringify({ name, attempt, upstream, outcome, reason, startedMs, headMs, wholeMs }));
            }
        }
        const kindsOfProblems = new Map<string, number>();
        for (const { kind, problems } of failed) {
            for (const problem of problems) {
                const key = `${kind}: ${problem.replaceAll(/\d+/gu, "#")}`;
                kindsOfProblems.set(key, (kindsOfProblems.get(key) ?? 0) + 1);
            }
        }
        console.log(kindsOfProblems);
        expect(failed.length).toEqual(0);
    });
});
