/**
 * Runs two nodes with a store and a runner in one process while the program is built. V8's code cache then contains the functions that
 * a node executes in its first second. A node that restarts would otherwise compile them while callers wait for it.
 */
import { createServer, request as sendRequest, type RequestListener } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformNode } from "./node.js";
import { parseNodeSettings } from "./nodeSettings.js";
import { headerNames, recordKeys, storePaths, topics } from "./wire.js";

const hosts = ["127.0.0.1", "127.0.0.2"];
/** Placeholders for ports in the sample settings. */
const samplePorts = { callers: 7_001, ready: 7_002, peers: 7_003, addresses: 7_004, metrics: 7_005, store: 7_006 };
const requestCount = 40;
const requestIntervalMilliseconds = 15;
/** Time in which nodes find each other before the first request, and answer the last one. */
const settlingMilliseconds = 700;
/** Time for which the store holds a read for changes. */
const readMilliseconds = 200;
const runnerCount = 20;
const eventsPerStream = 6;

/**
 * Runs the rehearsal.
 * @param content - Sample settings.
 */
export async function rehearse(content: string): Promise<void> {
    const platform = createServer();
    const port = await listen(platform, hosts[0]);
    const peerPort = await findFreePort();
    platform.on("request", createPlatform(`${hosts[0]}:${port}`, peerPort));
    const callerPorts: number[] = [];
    for (const host of hosts) {
        const callers = createTcpServer();
        callerPorts.push(await listen(callers, host));
        const settings = parseNodeSettings(createSettings(content, host, { store: port, peers: peerPort }), "sample");
        void new PlatformNode(settings._unsafeUnwrap()).start(callers);
    }
    await sleep(settlingMilliseconds);
    for (let index = 0; index < requestCount; index += 1) {
        sendSample(callerPorts[index % hosts.length], hosts[index % hosts.length], index);
        await sleep(requestIntervalMilliseconds);
    }
    await sleep(settlingMilliseconds);
}

function createSettings(
    content: string,
    host: string,
    ports: { readonly store: number; readonly peers: number; },
): string {
    let settings = content.replaceAll("127.0.0.1", host);
    for (const [name, samplePort] of Object.entries(samplePorts)) {
        const chosen = name === "store" ? ports.store : name === "peers" ? ports.peers : 0;
        settings = settings.replaceAll(`:${samplePort}`, `:${chosen}`);
    }
    return settings.replaceAll(`${host}:${ports.store}`, `${hosts[0]}:${ports.store}`);
}

function listen(server: Server, host: string): Promise<number> {
    return new Promise(resolve => server.listen(0, host, () => resolve((server.address() as AddressInfo).port)));
}

async function findFreePort(): Promise<number> {
    const server = createTcpServer();
    const port = await listen(server, hosts[0]);
    await new Promise(resolve => server.close(resolve));
    return port;
}

function createPlatform(address: string, peerPort: number): RequestListener {
    const records = createRecords(address, peerPort);
    return (request, response) => {
        const url = new URL(request.url ?? "/", "http://platform");
        request.resume();
        switch (url.pathname) {
            case storePaths.newest: {
                const entries = records[url.searchParams.get("topic") ?? ""] ?? [];
                response.end(JSON.stringify({ entries, has_more: false, end_offset: entries.length }));
                return;
            }
            case storePaths.read: {
                const end = Buffer.alloc(16);
                end.writeBigUInt64BE(BigInt(url.searchParams.get("from") ?? 0));
                setTimeout(() => response.end(end), readMilliseconds);
                return;
            }
            case storePaths.append:
                response.end(JSON.stringify({ offset: 0, end_offset: 1 }));
                return;
        }
        response.setHeader(headerNames.requestId, request.headers[headerNames.requestId] ?? "");
        response.setHeader(headerNames.seal, "sample");
        response.setHeader(headerNames.load, "1,0,16");
        if (!url.pathname.startsWith("/stream/")) {
            response.end("done");
            return;
        }
        response.writeHead(200, { "content-type": "text/event-stream", [headerNames.confidence]: "40" });
        for (let id = 1; id <= eventsPerStream; id += 1) {
            setTimeout(() => response.write(`id: ${id}\ndata: sample\n\n`), id);
        }
        setTimeout(() => response.end(), eventsPerStream + 1);
    };
}

function createRecords(address: string, peerPort: number): Readonly<Record<string, readonly object[]>> {
    const route = { host: "sample", timeout_ms: 5_000, goal_ms: 1_000, service: "pool", max_attempts: 3 };
    const configuration = {
        version: 1,
        routes: [
            { ...route, name: "call", path_prefix: "/call/", route_kind: "idempotent" },
            {
                ...route,
                name: "stream",
                path_prefix: "/stream/",
                route_kind: "streaming",
                resumable: true,
                sizes: ["small", "large"],
            },
        ],
        services: [{ name: "pool", engine: { models: [{ name: "small" }, { name: "large" }] } }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "sample", api_keys: ["key"] }],
    };
    const upstream = { service: "pool", address, zone: "sample", version: "v1", slots: 16, state: "ready" };
    const members = hosts.map(host => ({
        id: host,
        address: host,
        peerPort,
        callerPort: samplePorts.callers,
        failureDomain: "sample",
        region: "sample",
    }));
    const runners = Array.from({ length: runnerCount }, (...[, index]) => [`runner-${index}`, upstream] as const);
    return {
        [topics.operator]: createEntries([[recordKeys.configuration, configuration]]),
        [topics.upstreams]: createEntries(runners),
        [topics.status]: createEntries(members.map(member => [`${recordKeys.memberPrefix}${member.id}`, member])),
    };
}

function createEntries(records: readonly (readonly [key: string, value: object])[]): readonly object[] {
    return records.map(([key, value], offset) => ({
        key,
        value: Buffer.from(JSON.stringify(value)).toString("base64"),
        offset,
    }));
}

function sendSample(port: number, host: string, index: number): void {
    const isStream = index % 2 === 0;
    const headers = {
        host: "sample",
        [headerNames.requestId]: `sample-${index}`,
        [headerNames.deadline]: "4000",
        [headerNames.apiKey]: "key",
        ...isStream && {
            [headerNames.model]: "*",
            [headerNames.tokens]: "1500,300",
            [headerNames.promptParts]: "5c1e07a2:800,91bd3f06:410",
            [headerNames.session]: `session-${index}`,
        },
    };
    const path = isStream ? "/stream/1" : "/call/1";
    const request = sendRequest({ host, port, path, method: "POST", headers }, response => response.resume());
    request.on("error", error => console.error(`The rehearsal's request ${index} failed: ${error.message}`));
    request.end("sample");
}
