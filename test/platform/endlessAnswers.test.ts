import { expect } from "earl";
import { readFileSync } from "node:fs";
import type { ServerResponse } from "node:http";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite, type SiteNode } from "./platformSite.js";
import { createEndlessRunner, createSealedStart, type EndlessAnswer } from "./standins/endlessRunner.js";
import { createSeal, type ReceivedRequest } from "./standins/runnerStandin.js";

const port = 7_030;
/** Memory of a node on the platform. */
const maxMemoryMegabytes = 350;
const body = createSealedStart("Transfer-Encoding: chunked\r\n\r\n");
const soundEvent = "id: 1\ndata: done\n\n";
const withoutLength = createSealedStart("\r\n");
const answers: Readonly<Record<string, EndlessAnswer>> = {
    "a body in chunks": { start: body, repeated: `1000\r\n${"x".repeat(0x1000)}\r\n` },
    "a body in the smallest chunks": { start: body, repeated: "1\r\nx\r\n" },
    "a body with a length": { start: createSealedStart("Content-Length: 99999999999\r\n\r\n"), repeated: "x" },
    "a body without a length": { start: withoutLength, repeated: "x" },
    "a failure": { start: body.replace("200 OK", "500 Failed"), repeated: "100\r\n".padEnd(0x105, "x") + "\r\n" },
    "heads": { start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    "the extension of a chunk": { start: `${body}2;a=`, repeated: "x" },
    "lines without a blank one": { start: withoutLength, repeated: "data: line\n" },
};

/** Runs a site with one sound runner, and one whose answers have no end. */
async function startSite(site: PlatformSite, soundRunners: number) {
    const endless = createEndlessRunner(answers["a failure"]);
    await site.start(soundRunners);
    const host = `${site.prefix}.180`;
    await new Promise<void>(resolve => endless.server.listen(port, host, resolve));
    site.addCleanup(() => Promise.resolve(void endless.server.close()));
    site.register("endless", { address: `${host}:${port}` });
    const node = site.startNode(1);
    await site.waitForReady(node);
    return { node, endless };
}

/** Answers streams with an event and calls with the body `done`. */
function answerSoundly(request: ReceivedRequest, response: ServerResponse): void {
    const isStream = request.target.startsWith("/stream/");
    response.writeHead(200, { ...createSeal(request), ...isStream ? { "Content-Type": "text/event-stream" } : {} });
    response.end(isStream ? soundEvent : "done");
}

/** Returns the most memory that a node has taken so far. */
function readPeakMegabytes({ child }: SiteNode): number {
    const kilobytes = /^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"))![1];
    return Number(kilobytes) / 1024;
}

// A runner writes bytes that are no answer, in a head or a body, until its reader closes the connection.
describe("a runner whose answers have no end", () => {
    const site = new PlatformSite("127.72.97");
    after(() => site.stop());
    let node: SiteNode;
    let endless: ReturnType<typeof createEndlessRunner>;
    before(async () => {
        ({ node, endless } = await startSite(site, 0));
    });

    for (const [name, answer] of Object.entries(answers)) {
        // Guards against a node whose memory or whose time goes to one answer.
        it(`costs its node little in ${name}`, async () => {
            endless.answer = answer;
            const from = endless.written.length;
            const paths = ["/booking/1", "/call/1", "/stream/1"];
            const received = await Promise.all(paths.map(async path => {
                const result = await site.send(node, { path }).then(({ status }) => status, () => "closed");
                return `${path} ${result}`;
            }));
            // A stream that has begun is broken off; nothing is a success.
            expect(received.filter(line => line.endsWith("200"))).toEqual([]);
            const written = endless.written.slice(from);
            expect(written.length >= 1).toEqual(true);
            await waitUntil(() => written.every(({ isClosed }) => isClosed), {
                description: "the end of its connections",
            });
            expect(written.every(({ bytes }) => bytes < 60 * 1024 * 1024)).toEqual(true);
            expect(readPeakMegabytes(node) < maxMemoryMegabytes).toEqual(true);
        });
    }

    it("is named in the log of its node", () => {
        const lines = node.events.filter(line => line.name === "answer-oversized");
        expect(lines.length >= 1 && lines.every(line => line.upstream === "endless")).toEqual(true);
    });
});

describe("a runner whose answers have no end beside a sound one", () => {
    const site = new PlatformSite("127.72.93");
    after(() => site.stop());

    it("costs no caller an answer where requests may be repeated", async () => {
        const { node, endless } = await startSite(site, 1);
        site.runners.get("i-1")!.behaviour = answerSoundly;
        for (const name of ["a body in chunks", "heads", "lines without a blank one"]) {
            endless.answer = answers[name];
            for (let count = 0; count < 4; count += 1) {
                const answered = await Promise.all([
                    site.send(node),
                    site.send(node, { path: "/stream/1" }),
                ]);
                expect(answered.map(({ status, body }) => `${status} ${body}`)).toEqual([
                    "200 done",
                    `200 ${soundEvent}`,
                ]);
            }
        }
        expect(endless.written.length >= 1).toEqual(true);
    });
});
