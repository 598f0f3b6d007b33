import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import xxhash from "xxhash-wasm";
import {
    type CacheEvent,
    formatAddress,
    getAnswerHash,
    ModelEngine,
    type RunJournalEntry,
} from "../../../src/standins/index.js";
import { call, callJson, getJournal, type Reply, setFaults, waitUntil } from "../../../src/testbench/index.js";
import type { LoadReport } from "../../../src/world/index.js";

interface ChatOptions {
    readonly id: string;
    readonly version?: string;
    readonly content?: string;
    readonly stream?: boolean;
    readonly tokens?: number;
    readonly priority?: number;
    readonly requestClass?: string;
}

interface Completion {
    readonly choices: readonly { readonly message: { readonly content: string; }; }[];
    readonly usage: { readonly prompt_tokens_details: { readonly cached_tokens: number; }; };
}

describe("ModelEngine", () => {
    let engine: ModelEngine;
    let address: string;

    beforeEach(async () => {
        engine = new ModelEngine({ host: "127.10.4.1", port: 0 }, {
            versions: "plan@1,plan@2",
            stepMilliseconds: 2,
            cacheEventLagMilliseconds: 0,
            loadLagMilliseconds: 0,
            loadMilliseconds: 0,
        });
        address = formatAddress(await engine.start());
    });

    afterEach(async () => {
        await setFaults(address, { frozen: false });
        await engine.stop();
    });

    function requestChat(options: ChatOptions): Promise<Reply> {
        const { id, version = "plan@1", content = "hello", stream = false, tokens = 8, priority = 1 } = options;
        return call({
            address,
            path: "/v1/chat/completions",
            method: "POST",
            headers: {
                "X-Request-Id": id,
                "X-Priority": String(priority),
                "X-Request-Class": options.requestClass ?? "plan",
            },
            body: { model: version, messages: [{ role: "user", content }], max_tokens: tokens, stream },
        });
    }

    async function requestText(options: ChatOptions): Promise<string> {
        return (JSON.parse((await requestChat(options)).text) as Completion).choices[0].message.content;
    }

    async function getJournalEntry(id: string): Promise<RunJournalEntry | undefined> {
        return (await getJournal<RunJournalEntry>(address)).find(entry => entry.id === id);
    }

    function sendOrder(fencingToken: number, versions: readonly string[]): Promise<Reply> {
        return call({ address, path: "/orders", method: "POST", body: { fence: fencingToken, versions } });
    }

    async function getLoad(): Promise<LoadReport> {
        return callJson<LoadReport>({ address, path: "/load" });
    }

    describe("answers", () => {
        it("contain their request and version and are the same each time", async () => {
            const text = await requestText({ id: "r1" });
            expect(text.startsWith("answer r1 by plan@1:")).toEqual(true);
            expect(await requestText({ id: "r1" })).toEqual(text);
            expect((await getJournalEntry("r1"))?.answerHash).toEqual(getAnswerHash(text));
        });

        // The quality of a version drops for one request class while it serves. Its callers get worse answers from then on.
        it("get worse when the quality of a version drops", async () => {
            await setFaults(address, { version: "plan@2", quality: 0.1, class: "wear-tag" });
            const getQuality = async (requestClass: string): Promise<number> => {
                const text = await requestText({ id: requestClass, version: "plan@2", requestClass });
                return Number(/quality (\S+)\]$/.exec(text)?.[1]);
            };
            expect(await getQuality("wear-tag")).toBeLessThan(0.3);
            expect(await getQuality("plan")).toBeGreaterThan(0.5);
        });

        it("fail at the version's error rate", async () => {
            await setFaults(address, { version: "plan@2", errorRate: 1 });
            expect((await requestChat({ id: "r", version: "plan@2" })).status).toEqual(500);
            expect((await requestChat({ id: "r", version: "plan@1" })).status).toEqual(200);
        });

        it("report the version that actually runs", async () => {
            await setFaults(address, { runsInstead: { "plan@1": "plan@2" } });
            const reply = await requestChat({ id: "r" });
            expect(reply.headers["x-model-version"]).toEqual("plan@2");
            expect((await getJournalEntry("r"))?.ran).toEqual("plan@2");
        });
    });

    describe("streams", () => {
        it("are resumed after an event", async () => {
            const completeStream = (await requestChat({ id: "r", stream: true })).text;
            const resumedStream = await call({ address, path: "/streams/r", headers: { "Last-Event-ID": "4" } });
            expect(resumedStream.text.startsWith("id: 5\n")).toEqual(true);
            expect(completeStream.endsWith(resumedStream.text)).toEqual(true);
            expect(completeStream.endsWith("data: [DONE]\n\n")).toEqual(true);
        });

        it("are removed after their retention time", async () => {
            await setFaults(address, { keepMilliseconds: 0 });
            await requestChat({ id: "r", stream: true });
            await waitUntil(async () => (await call({ address, path: "/streams/r" })).status === 404, {
                description: "404",
            });
        });

        // The caller disconnects and its entry cancels the request. The engine stops, and a reader that is still connected
        // receives an incomplete stream.
        it("end incomplete when they are cancelled", async () => {
            const reply = requestChat({ id: "r", stream: true, tokens: 100_000 });
            await waitUntil(async () => (await getJournalEntry("r"))?.outcome === "running", {
                description: "the run to start",
            });
            await setFaults(address, { frozen: true });
            await call({ address, path: "/streams/r", method: "DELETE" });
            const ended = await reply.then(({ status }) => status === 499, () => true);
            expect(ended).toEqual(true);
            expect((await getJournalEntry("r"))?.outcome).toEqual("cancelled");
            expect((await getLoad()).running).toEqual(0);
        });
    });

    describe("queue", () => {
        it("admits the highest priority first and rejects requests while it is full", async () => {
            await setFaults(address, { maximumRunning: 1, maximumWaiting: 2, frozen: true });
            const replies = [requestChat({ id: "late", priority: 5 })];
            await waitUntil(() => getJournalEntry("late"), { description: "the first request" });
            replies.push(requestChat({ id: "urgent", priority: 0 }));
            await waitUntil(() => getJournalEntry("urgent"), { description: "the second request" });
            const refused = await requestChat({ id: "refused" });
            expect([refused.status, refused.headers["retry-after"]]).toEqual([429, "1"]);
            expect((await getLoad()).waiting).toEqual(2);
            await setFaults(address, { frozen: false });
            await Promise.all(replies);
            const times = [
                (await getJournalEntry("urgent"))?.endedAt ?? 0,
                (await getJournalEntry("late"))?.startedAt ?? 0,
            ];
            expect(times[0] <= times[1]).toEqual(true);
            expect(await getJournalEntry("refused")).toEqual(undefined);
        });

        it("rejects new requests while the engine is leaving", async () => {
            await setFaults(address, { leaving: true });
            expect((await requestChat({ id: "r" })).status).toEqual(409);
            expect((await getLoad()).leaving).toEqual(true);
        });

        it("reports a false load", async () => {
            await setFaults(address, { lie: { running: 0, waiting: 7 } });
            expect((await getLoad()).waiting).toEqual(7);
        });
    });

    describe("prefix cache", () => {
        const content = "x".repeat(1100);

        async function getEvents(from = 0): Promise<readonly CacheEvent[]> {
            return (await callJson<{ events: CacheEvent[]; }>({ address, path: `/cache-events?from=${from}` })).events;
        }

        async function getCached(id: string): Promise<number> {
            return ((await getJournalEntry(id))?.cachedTokens) ?? -1;
        }

        it("serves a prompt's blocks to the same version only, and publishes them", async () => {
            await requestChat({ id: "first", content });
            await requestChat({ id: "again", content });
            await requestChat({ id: "other", content, version: "plan@2" });
            expect([await getCached("first"), await getCached("again"), await getCached("other")]).toEqual([0, 256, 0]);
            const { h64ToString } = await xxhash();
            const blocks = (await getEvents()).filter(event => event.version === "plan@1").map(event => event.block);
            const prompt = `user\n${content}\n`;
            const expected = [h64ToString(prompt.slice(0, 1024)), h64ToString(prompt.slice(0, 512))];
            expect(blocks).toEqual(expected);
        });

        // The cache is full: blocks are evicted, and some of the events that report it are lost.
        it("evicts blocks when it is full, with gaps in its events", async () => {
            await setFaults(address, { cacheBlocks: 2 });
            await requestChat({ id: "first", content });
            await requestChat({ id: "second", content: "y".repeat(1100) });
            await requestChat({ id: "again", content });
            expect(await getCached("again")).toEqual(0);
            expect((await getEvents()).filter(event => event.kind === "removed").length).toEqual(4);
            await setFaults(address, { cacheEventLossProbability: 1 });
            const count = (await getEvents()).length;
            await requestChat({ id: "third", content: "z".repeat(1100) });
            expect((await getEvents()).length).toEqual(count);
        });

        it("is exported and imported", async () => {
            await requestChat({ id: "first", content });
            const exported = await callJson<object>({ address, path: "/kv/first" });
            await setFaults(address, { cacheBlocks: 0 });
            await requestChat({ id: "emptying", content: "y".repeat(600) });
            await setFaults(address, { cacheBlocks: 9 });
            await call({ address, path: "/kv/first", method: "PUT", body: exported });
            await requestChat({ id: "again", content });
            expect(await getCached("again")).toEqual(256);
        });
    });

    describe("orders", () => {
        // A paused lease holder resumes and sends an order after a newer holder has sent one. Without the check the old order
        // would undo the newer one.
        it("are refused with an old fencing token", async () => {
            expect((await sendOrder(5, ["plan@3"])).status).toEqual(200);
            await waitUntil(async () => (await getLoad()).versions.includes("plan@3"), {
                description: "plan@3 to be loaded",
            });
            expect((await sendOrder(4, ["plan@1"])).status).toEqual(409);
            expect((await getLoad()).versions).toEqual(["plan@3"]);
            expect((await requestChat({ id: "r", version: "plan@1" })).status).toEqual(404);
        });

        // The same late order arrives at an engine that does not check the fencing token, and takes effect.
        it("take effect with an old fencing token when the engine does not check it", async () => {
            await setFaults(address, { checksFencing: false });
            await sendOrder(5, ["plan@2"]);
            await sendOrder(4, ["plan@1"]);
            await waitUntil(async () => (await getLoad()).versions.join() === "plan@1", {
                description: "the old order's versions",
            });
        });

        it("are answered but ignored by a faulty engine", async () => {
            await setFaults(address, { ignoreOrders: true });
            expect((await sendOrder(5, ["plan@3"])).status).toEqual(200);
            expect((await getLoad()).versions).toEqual(["plan@1", "plan@2"]);
        });
    });
});
