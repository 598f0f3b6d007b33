import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { LivenessChecks, type LivenessRequest } from "../../src/platform/livenessChecks.js";
import type { Liveness } from "../../src/reachability/index.js";
import { createUpstream } from "../fixtures/upstreams.js";
import { UpstreamCalls } from "./upstreamCalls.js";

const never = new AbortController().signal;
const upstream = createUpstream("i-1", { startedAt: 1 });

/** Requests for signs of life that are answered by the test. */
class Asked {
    readonly answers: ((liveness: Liveness) => void)[] = [];
    readonly sends: (() => void)[] = [];

    readonly ask: LivenessRequest = (...[, { onSent }]) => {
        this.sends.push(onSent);
        return new Promise(resolve => this.answers.push(resolve));
    };
}

function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

describe("LivenessChecks", () => {
    // Guards against a request for each of many answers that end at one upstream at the same time.
    it("asks once for the ends that wait at the same time, and again for later ones", async () => {
        const asked = new Asked();
        const checks = new LivenessChecks(asked.ask);
        const first = [checks.confirm(upstream, never), checks.confirm(upstream, never)];
        asked.sends[0]();
        const late = checks.confirm(upstream, never);
        asked.answers[0]("running");
        expect(await Promise.all(first)).toEqual([true, true]);
        await settle();
        expect(asked.answers.length).toEqual(2);
        asked.sends[1]();
        asked.answers[1]("unanswered");
        expect(await late).toEqual(false);
    });

    // Guards against half an answer that passes for whole since its upstream answered something that it had got before it was killed.
    it("counts only answers to what was sent after the end", async () => {
        const asked = new Asked();
        const checks = new LivenessChecks(asked.ask);
        const before = checks.getMoment();
        const confirmed = checks.confirm(upstream, never);
        checks.addAnswer(upstream, before);
        checks.addAnswer(createUpstream("i-1", { startedAt: 2 }), checks.getMoment());
        await settle();
        let isOver = false;
        void confirmed.then(() => isOver = true);
        await settle();
        expect(isOver).toEqual(false);
        checks.addAnswer(upstream, checks.getMoment());
        expect(await confirmed).toEqual(true);
    });

    it("does not confirm an end when the request was not sent, or its caller waits no longer", async () => {
        const asked = new Asked();
        const checks = new LivenessChecks(asked.ask);
        const unsent = checks.confirm(upstream, never);
        asked.answers[0]("running");
        expect(await unsent).toEqual(false);
        await settle();
        const controller = new AbortController();
        const left = checks.confirm(upstream, controller.signal);
        controller.abort();
        expect(await left).toEqual(false);
        expect(await checks.confirm(upstream, AbortSignal.abort())).toEqual(false);
    });

    it("gives up an upstream that does not answer", async () => {
        const checks = new LivenessChecks((...[, { onSent, signal }]) => {
            onSent();
            return new Promise(resolve => signal.addEventListener("abort", () => resolve("unanswered")));
        });
        expect(await checks.confirm(upstream, never)).toEqual(false);
    });
});

describe("the sign of life of an upstream", () => {
    const calls = new UpstreamCalls();
    afterEach(() => calls.close());

    /** Asks an upstream that answers with the given status, headers and body. */
    async function ask(
        status: number,
        headers: Record<string, string>,
        body: string,
        { isModelRunner = false, isChunked = false } = {},
    ) {
        const paths: (string | undefined)[] = [];
        const server = createServer((request, response) => {
            paths.push(request.url);
            const echoed = headers["Attempt-Id"] === "own" ? { "Attempt-Id": request.headers["attempt-id"] } : {};
            const framing = isChunked ? {} : { "Content-Length": String(body.length) };
            response.writeHead(status, { ...headers, ...echoed, ...framing }).end(body);
        });
        server.listen(0, "127.71.1.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const models = isModelRunner ? [{ name: "m", weightsVersion: 1 }] : [];
        const asked = createUpstream("i-1", { address: `127.71.1.1:${port}`, startedAt: 5, models });
        const client = calls.createClient({ getHealthPath: () => "/healthz" });
        const isRunning = await client.confirmRunning(asked, never);
        server.close();
        server.closeAllConnections();
        return [isRunning, ...paths];
    }

    it("is any answer of its own, also a rejection", async () => {
        expect(await ask(200, { "Instance-Id": "i-1" }, "")).toEqual([true, "/healthz"]);
        expect(await ask(503, { "Not-Executed": "1", "Attempt-Id": "own" }, "")).toEqual([true, "/healthz"]);
        expect(await ask(404, {}, "no such page")).toEqual([true, "/healthz"]);
    });

    // Guards against an upstream that is back already, or another one, that speaks for the one that was killed.
    it("is none of another upstream, of another life of it, or to another request", async () => {
        const json = { "Content-Type": "application/json" };
        for (const isChunked of [false, true]) {
            const options = { isModelRunner: true, isChunked };
            expect(await ask(200, json, "{\"born\":5}", options)).toEqual([true, "/v1/report"]);
            expect(await ask(200, json, "{\"born\":6}", options)).toEqual([false, "/v1/report"]);
            expect(await ask(200, json, "no JSON", options)).toEqual([true, "/v1/report"]);
        }
        expect(await ask(200, { "Instance-Id": "i-2" }, "")).toEqual([false, "/healthz"]);
        expect(await ask(421, {}, "")).toEqual([false, "/healthz"]);
        expect(await ask(200, { "Attempt-Id": "earlier" }, "")).toEqual([false, "/healthz"]);
    });

    it("is none where there is no path to ask at, or nobody listens", async () => {
        expect(await calls.createClient().confirmRunning(upstream, never)).toEqual(false);
        const client = calls.createClient({ getHealthPath: () => "/healthz" });
        expect(await client.confirmRunning(createUpstream("i-1", { address: "127.71.1.1:9" }), never)).toEqual(false);
    });
});
