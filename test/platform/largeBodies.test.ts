import { expect } from "earl";
import { readFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createConfiguration, PlatformSite, type SiteNode } from "./platformSite.js";

const memoryMegabytes = 200;
/** The users kill a process that exceeds its memory; a tenth of it is left for what else the node does. */
const maxMegabytes = 0.9 * memoryMegabytes;
const bodyBytes = 4 * 1024 * 1024;
const runnerPort = 7_020;
const pollMilliseconds = 10;
const smallRequests = 30;
const kilobytesPerMegabyte = 1_024;
/** A runner reads the largest body in two seconds. */
const slowBytesPerSecond = bodyBytes / 2;

/** Starts a runner that reads bodies at a pace, or nothing of them, and then answers. */
async function startReader(host: string, bytesPerSecond: number): Promise<Server> {
    const server = createServer(async (request, response) => {
        if (bytesPerSecond === 0) {
            return;
        }
        try {
            for await (const piece of request as AsyncIterable<Buffer>) {
                await sleep(piece.length / bytesPerSecond * 1_000);
            }
        }
        catch {
            // The node has given the request up.
            return;
        }
        const seal = { "Attempt-Id": String(request.headers["attempt-id"]), "Server-Seal": "3e1b.07" };
        response.writeHead(200, seal).end("read");
    });
    await new Promise<void>(resolve => server.listen(runnerPort, host, resolve));
    return server;
}

function getMegabytes({ child }: SiteNode): number {
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) / kilobytesPerMegabyte;
}

// Large requests wait for slow runners; a node that held them all would exceed its memory and end with all of its requests.
describe("a node whose callers send large bodies", () => {
    const prefixes = { slow: "127.73.94", silent: "127.73.95", fast: "127.73.96" };
    for (const [pace, prefix] of Object.entries(prefixes)) {
        describe(`before runners that read them: ${pace}`, () => {
            const site = new PlatformSite(prefix, { "limits.memory_mb": memoryMegabytes });
            const runners: Server[] = [];
            after(async () => {
                await site.stop();
                for (const runner of runners) {
                    runner.close();
                    runner.closeAllConnections();
                }
            });
            before(async () => {
                await site.start(0);
                const { limits, ...configuration } = createConfiguration(2) as { readonly limits: object; };
                site.store.put("keyed.op", "config", {
                    ...configuration,
                    limits: { ...limits, max_body_bytes: bodyBytes },
                });
                const bytesPerSecond = { slow: slowBytesPerSecond, silent: 0, fast: Number.POSITIVE_INFINITY }[pace]!;
                for (let index = 1; index <= 4; index += 1) {
                    runners.push(await startReader(`${prefix}.${100 + index}`, bytesPerSecond));
                    site.store.put("keyed.servers", `i-${index}`, {
                        service: "pool",
                        address: `${prefix}.${100 + index}:${runnerPort}`,
                        zone: "north",
                        version: "v1",
                        slots: 20,
                        state: "ready",
                        seq_no: 1,
                        cold_left_ms: 0,
                    });
                }
                await site.waitForReady(site.startNode(1));
            });

            for (const callers of [40, 80]) {
                it(`stays within its memory with ${callers} callers, and answers or refuses each of them`, async () => {
                    const node = site.nodes[0];
                    let peak = 0;
                    const timer = setInterval(() => peak = Math.max(peak, getMegabytes(node)), pollMilliseconds);
                    const body = "a".repeat(bodyBytes);
                    const pending = Array.from({ length: callers }, (...[, index]) => sendLater(node, body, index));
                    const small = pace === "silent" ? [] : await sendSmall(node);
                    const statuses = await Promise.all(pending);
                    clearInterval(timer);
                    console.log(
                        `${pace}, ${callers} callers: peak ${peak.toFixed(0)} MB, statuses ${countAll(statuses)}`,
                    );
                    expect(small.filter(status => status !== 200)).toEqual([]);
                    expect([peak < maxMegabytes, node.child.exitCode ?? undefined, node.child.signalCode ?? undefined])
                        .toEqual([
                            true,
                            undefined,
                            undefined,
                        ]);
                });
            }

            /** Sends small requests one after the other while the large ones are in hand. */
            async function sendSmall(node: SiteNode): Promise<readonly number[]> {
                const statuses: number[] = [];
                for (let count = 0; count < smallRequests; count += 1) {
                    await sleep(pollMilliseconds);
                    statuses.push((await site.send(node, { path: "/booking/1", body: "small" })).status);
                }
                return statuses;
            }

            async function sendLater(node: SiteNode, body: string, index: number): Promise<number> {
                await sleep(index * pollMilliseconds);
                const answer = await site.send(node, { path: "/booking/1", body }).catch(() => undefined);
                return answer?.status ?? 0;
            }
        });
    }
});

function countAll(statuses: readonly number[]): string {
    const counts = new Map<number, number>();
    for (const status of statuses) {
        counts.set(status, (counts.get(status) ?? 0) + 1);
    }
    return JSON.stringify([...counts]);
}
