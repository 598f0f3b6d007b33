import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import {
    createChunkedPayload,
    createOpenHead,
    createPipelinedPayload,
    createSizedPayload,
    Crowd,
    exchangeRaw,
    type Payload,
} from "../fixtures/crowd.js";
import { watchUse } from "../fixtures/processUse.js";
import { callerPort, createConfiguration, PlatformSite, type SiteNode } from "../platform/platformSite.js";

const memoryMegabytes = 200;
/** The users kill a process that exceeds its memory; a tenth of it is left for what else the node does. */
const maxMegabytes = 0.9 * memoryMegabytes;
/** A quarter of the descriptors that the smallest machine gives. */
const maxDescriptors = 1_025;
const readyPort = 7_002;
const peerPort = 7_003;
const addressPort = 7_004;
const metricsPort = 7_005;
const largeBytes = 4 * 1024 * 1024;
const smallLimitBytes = 100_000;
/** How long an ordinary caller tries again. It says that the node answers, not how soon. */
const maxPatienceMilliseconds = 60_000;

const call = {
    path: "/booking/1",
    headers: { "attempt-id": "crowd", "deadline-ms": "20000", "api-key": "key" },
};

interface CrowdCase {
    readonly name: string;
    readonly clients: number;
    readonly payload: Payload;
    readonly port?: number;
    readonly maxBodyBytes?: number;
    readonly isReading?: boolean;
}

const callerCases: readonly CrowdCase[] = [
    {
        name: "one chunk far over the limit",
        clients: 1,
        payload: createChunkedPayload(call, { bytes: 1_048_576, chunkBytes: 1_048_576 }),
        maxBodyBytes: smallLimitBytes,
    },
    {
        name: "chunks of 64 KB that stop short of the end",
        clients: 100,
        payload: createChunkedPayload(call, { bytes: largeBytes - 65_536, chunkBytes: 65_536 }),
    },
    {
        name: "chunks of one byte that stop short of the end",
        clients: 100,
        payload: createChunkedPayload(call, { bytes: 60_000, chunkBytes: 1 }),
        maxBodyBytes: smallLimitBytes,
    },
    {
        name: "chunks of one byte over the limit",
        clients: 100,
        payload: createChunkedPayload(call, { bytes: 2 * smallLimitBytes, chunkBytes: 1 }),
        maxBodyBytes: smallLimitBytes,
    },
    {
        name: "chunks of one byte with extensions of 64 bytes",
        clients: 20,
        payload: createChunkedPayload(call, { bytes: 60_000, chunkBytes: 1, extension: `;${"x".repeat(63)}` }),
    },
    { name: "whole bodies of 4 MB", clients: 300, payload: createSizedPayload(call, { stated: largeBytes }) },
    {
        name: "bodies of 4 MB that stop short of a byte",
        clients: 300,
        payload: createSizedPayload(call, { stated: largeBytes, missing: 1 }),
    },
    {
        name: "bodies of 4 MB in small pieces that stop short of a byte",
        clients: 100,
        payload: createSizedPayload(call, { stated: largeBytes, missing: 1, pieceBytes: 4_096 }),
    },
    {
        name: "bodies of 60 KB that stop short of a byte",
        clients: 900,
        payload: createSizedPayload(call, { stated: 61_440, missing: 1 }),
    },
    {
        name: "bodies of 64 MB, announced and sent",
        clients: 100,
        payload: createSizedPayload(call, { stated: 64 * 1_048_576 }),
    },
    {
        name: "8 MB in chunks before a limit of 100,000 bytes",
        clients: 100,
        payload: createChunkedPayload(call, { bytes: 8 * 1_048_576, chunkBytes: 65_536 }),
        maxBodyBytes: smallLimitBytes,
    },
    {
        name: "pipelined requests whose answers are not read",
        clients: 20,
        payload: createPipelinedPayload(call, 400, 8_192),
        isReading: false,
    },
    { name: "heads that are not ended", clients: 300, payload: createOpenHead(call) },
];

const otherPorts: Readonly<Record<string, { readonly port: number; readonly path: string; }>> = {
    readiness: { port: readyPort, path: "/v1/readyz" },
    addresses: { port: addressPort, path: "/v1/resolution?name=app.example&region=south&zone=north" },
    metrics: { port: metricsPort, path: "/metrics" },
    peers: { port: peerPort, path: "/" },
};

const portCases: readonly CrowdCase[] = Object.entries(otherPorts).flatMap(([name, { port, path }]) => [
    {
        name: `pipelined requests whose answers are not read, at the port of ${name}`,
        clients: 20,
        payload: createPipelinedPayload({ path, method: "GET" }, 2_000, 0),
        port,
        isReading: false,
    },
    {
        name: `chunks of one byte, at the port of ${name}`,
        clients: 50,
        payload: createChunkedPayload({ path }, { bytes: 60_000, chunkBytes: 1 }),
        port,
    },
    {
        name: `one chunk of 16 MB, at the port of ${name}`,
        clients: 20,
        payload: createChunkedPayload({ path }, { bytes: 16_777_216, chunkBytes: 16_777_216 }),
        port,
    },
    {
        name: `bodies of 64 MB that stop short of a byte, at the port of ${name}`,
        clients: 20,
        payload: createSizedPayload({ path }, { stated: 64 * 1_048_576, missing: 1 }),
        port,
    },
]);

describe("a node whose callers do not behave", () => {
    const site = new PlatformSite("127.73.120", { "limits.memory_mb": memoryMegabytes });
    let version = 1;
    after(() => site.stop());
    before(() => site.start(3));

    async function startNode(maxBodyBytes: number): Promise<SiteNode> {
        const { limits, ...configuration } = createConfiguration(version += 1) as { readonly limits: object; };
        site.store.put("keyed.op", "config", { ...configuration, limits: { ...limits, max_body_bytes: maxBodyBytes } });
        const node = site.startNode(1);
        await site.waitForReady(node);
        return node;
    }

    async function expectAnswer(node: SiteNode): Promise<void> {
        const answered = waitUntil(async () => (await site.send(node).catch(() => undefined))?.status === 200, {
            description: "an ordinary answer",
            timeoutMilliseconds: maxPatienceMilliseconds,
        });
        const end = await Promise.race([answered.then(() => undefined), node.exited.then(code => ({ code }))]);
        if (end !== undefined) {
            throw new Error(`The process ended with ${end.code ?? node.child.signalCode}.`);
        }
    }

    for (
        const { name, clients, payload, port = callerPort, maxBodyBytes = largeBytes, isReading } of [
            ...callerCases,
            ...portCases,
        ]
    ) {
        // Guards against callers that end or occupy a node for all others by what they send or do not read.
        it(`lives, stays within its memory and answers others: ${name}`, async () => {
            const node = await startNode(maxBodyBytes);
            const crowd = new Crowd({ host: node.address, port, clients, payload, isReading });
            const getPeak = watchUse(node.child.pid!);
            try {
                await crowd.send();
                await expectAnswer(node);
                crowd.close();
                await expectAnswer(node);
                const { megabytes, descriptors } = getPeak();
                console.log(`${name}: ${megabytes.toFixed(0)} MB, ${descriptors} descriptors`);
                expect([megabytes < maxMegabytes, descriptors < maxDescriptors, node.child.exitCode ?? undefined])
                    .toEqual([true, true, undefined]);
            }
            finally {
                getPeak();
                crowd.close();
                node.child.kill("SIGKILL");
                await node.exited;
            }
        });
    }

    // Guards against a limit that a caller inside the configured limits meets.
    for (
        const [name, payload] of Object.entries({
            "chunks of one byte": createChunkedPayload(call, { bytes: 90_000, chunkBytes: 1 }),
            "chunks of 64 KB": createChunkedPayload(call, { bytes: largeBytes - 65_536, chunkBytes: 65_536 }),
        })
    ) {
        it(`serves a single request within the limits in calm: ${name}`, async () => {
            const node = await startNode(largeBytes);
            try {
                const answer = await exchangeRaw(node.address, callerPort, [...payload(), Buffer.from("0\r\n\r\n")]);
                expect(answer.startsWith("HTTP/1.1 200 ")).toEqual(true);
            }
            finally {
                node.child.kill("SIGKILL");
                await node.exited;
            }
        });
    }
});
