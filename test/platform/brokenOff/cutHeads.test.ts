import { expect } from "earl";
import type { Server, Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { callerPort, PlatformSite, type SiteNode } from "../platformSite.js";
import { readFramed } from "../standins/framedCaller.js";
import { createRawRunner } from "../standins/runnerStandin.js";

const runnerPort = 7_020;
const runnerCount = 3;
const concurrency = 12;
/** Share of the cases of which a runner has to write the answer. */
const minWrittenShare = 0.9;
const routes = ["call", "booking", "stream"] as const;
const ends = ["order", "reset"] as const;
/** Time that bytes have to leave before a reset discards them. */
const leaveMilliseconds = 10;
const body = "id: 1\ndata: a whole event\n\n";
const lines = "Server-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\n";
const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n`;

/** Whole answers by what their heads say, without the line of the attempt. One that says nothing of its end is cut in its head alone. */
const answers: Readonly<Record<string, { readonly start: string; readonly rest: string; }>> = {
    "a length": { start: "HTTP/1.1 200 OK\r\n", rest: `${lines}Content-Length: ${body.length}\r\n\r\n${body}` },
    "chunks": { start: "HTTP/1.1 200 OK\r\n", rest: `${lines}Transfer-Encoding: chunked\r\n\r\n${chunk}\r\n` },
    "neither": { start: "HTTP/1.1 200 OK\r\n", rest: `${lines}Connection: close\r\n\r\n` },
    "HTTP/1.0": { start: "HTTP/1.0 200 OK\r\n", rest: `${lines}\r\n` },
    "an interim answer before": {
        start: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n",
        rest: `${lines}Content-Length: ${body.length}\r\n\r\n${body}`,
    },
    "bare line feeds": { start: "HTTP/1.1 200 OK\n", rest: `${lines}Content-Length: 0\r\n\r\n`.replaceAll("\r", "") },
};

/** What the runners write to each request, by its path. */
interface CutAnswer {
    readonly kind: string;
    readonly bytes: number;
    readonly end: typeof ends[number];
}

function createBytes(kind: string, attempt: string): string {
    const { start, rest } = answers[kind];
    return `${start}Attempt-Id: ${attempt}\r\n${rest}`;
}

function write(socket: Socket, attempt: string, { kind, bytes, end }: CutAnswer): void {
    const cut = createBytes(kind, attempt).slice(0, bytes);
    if (end === "order") {
        socket.end(cut);
        return;
    }
    socket.write(cut);
    setTimeout(() => socket.resetAndDestroy(), leaveMilliseconds);
}

// A runner stops within the head of its answer, or within the body that it announces, and its connection ends.
describe("answers that are cut after any byte", () => {
    const site = new PlatformSite("127.72.137", { retry_budget_ratio: 5, budget_extra: 5_000 });
    const cuts = new Map<string, CutAnswer>();
    const written = new Set<string>();
    const servers: Server[] = [];
    let node: SiteNode;
    before(async () => {
        await site.start(0);
        for (let index = 1; index <= runnerCount; index += 1) {
            const host = `${site.prefix}.${100 + index}`;
            const server = createRawRunner((socket, attempt) => {
                const cut = cuts.get(attempt);
                if (cut === undefined) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                written.add(attempt);
                write(socket, attempt, cut);
            });
            await new Promise<void>(resolve => server.listen(runnerPort, host, resolve));
            servers.push(server);
            site.register(`i-${index}`, { address: `${host}:${runnerPort}`, slots: 100 });
        }
        node = site.startNode(1);
        await site.waitForReady(node);
    });
    after(async () => {
        await site.stop();
        for (const server of servers) {
            server.close();
        }
    });

    /** Sends a request for each cut, and returns those whose callers got an answer that seems to be whole. */
    async function findPassing(kind: string, end: CutAnswer["end"]): Promise<readonly string[]> {
        const passing: string[] = [];
        const waiting: { readonly route: typeof routes[number]; readonly bytes: number; }[] = [];
        for (
            let bytes = 0;
            bytes < createBytes(kind, createId(kind, end, { route: "call", bytes })).length;
            bytes += 1
        ) {
            waiting.push(...routes.map(route => ({ route, bytes })));
        }
        const run = async (): Promise<void> => {
            for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
                const { route, bytes } = next;
                const id = createId(kind, end, next);
                cuts.set(id, { kind, bytes, end });
                const seen = await readFramed({
                    host: node.address,
                    port: callerPort,
                    path: `/${route}/${id}`,
                    id,
                    pace: "quick",
                });
                if (seen.status === 200 && seen.end !== "broken" && !seen.isInsideEvent) {
                    passing.push(`${route}, cut after ${bytes} bytes: ${seen.end}, ${seen.body.length} bytes`);
                }
            }
        };
        const cases = waiting.length;
        const writtenBefore = written.size;
        await Promise.all(Array.from({ length: concurrency }, run));
        // Requests that are refused as all runners are avoided show nothing.
        expect(written.size - writtenBefore > cases * minWrittenShare).toEqual(true);
        return passing;
    }

    it("are passed on where they are whole", async () => {
        for (const kind of ["a length", "chunks", "an interim answer before"]) {
            for (const route of routes) {
                const id = createId(kind, "whole", { route, bytes: 0 });
                cuts.set(id, { kind, bytes: Number.POSITIVE_INFINITY, end: "order" });
                const path = `/${route}/${id}`;
                const seen = await readFramed({ host: node.address, port: callerPort, path, id, pace: "quick" });
                expect([seen.status, seen.end, seen.body]).toEqual([200, "whole", body]);
            }
        }
    });

    for (const kind of Object.keys(answers)) {
        for (const end of ends) {
            // Guards against an empty or short body that is framed as whole, since the runner stopped before it had said how long it is.
            it(`reach no caller as whole: ${kind}, ended by ${end}`, async () => {
                expect(await findPassing(kind, end)).toEqual([]);
            });
        }
    }
});

/** Creates an identifier of the same length for each cut of one kind. */
function createId(
    kind: string,
    end: string,
    { route, bytes }: { readonly route: string; readonly bytes: number; },
): string {
    const name = `${Object.keys(answers).indexOf(kind)}-${end.padEnd(5, "x")}-${route.padEnd(7, "x")}`;
    return `${name}-${String(bytes).padStart(4, "0")}`;
}
