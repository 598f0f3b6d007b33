/**
 * Runs two nodes for a moment while the program is built, so that the compiled code that is kept holds what requests need.
 *
 * V8 compiles a function when it first runs. Right after a loss of power, when callers come back all at once, that took a node 15 ms
 * and more for each of its first requests.
 */
import { once } from "node:events";
import {
    createServer,
    type IncomingMessage,
    request as sendRequest,
    type Server,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { PlatformNode } from "./node.js";
import type { Endpoint } from "./nodeSettings.js";
import { headerNames, recordKeys, servedPaths, storePaths, topics } from "./wire.js";

const host = "127.0.0.1";
/** Nodes tell each other apart by their addresses. */
const nodeHosts = ["127.0.0.2", "127.0.0.3"];
/** Ports of a node: for callers, readiness, peers, addresses and metrics. */
const portCount = 5;
/** Requests that each node gets of each kind. */
const rounds = 30;
/** What the nodes have learned of each other by then is enough, in milliseconds. */
const settleMilliseconds = 600;
const pollMilliseconds = 10;
const routeDefaults = {
    host: "warm.example",
    timeout_ms: 5_000,
    goal_ms: 1_000,
    gap_goal_ms: 1_000,
    max_attempts: 3,
    service: "warm",
};
const models = ["small", "large"];

/** Creates a node from the text of its settings. */
export type CreateNode = (settings: string) => PlatformNode;

/**
 * Starts nodes before a store and a runner of its own, sends them requests of every kind, and stops them.
 * @param createNode - Creates a node.
 * @param settings - Settings with `{address}`, `{store}` and `{port0}` to `{port4}` where those of a node belong.
 */
export async function warmUp(createNode: CreateNode, settings: string): Promise<void> {
    const runner = await listen(answerAsRunner);
    const records = createRecords(getPort(runner));
    const store = await listen((request, response) => answerAsStore(request, response, records));
    const ports = await findFreePorts(portCount);
    const nodes = nodeHosts.map(nodeHost => {
        let text = settings.replaceAll("{store}", `${host}:${getPort(store)}`).replaceAll("{address}", nodeHost);
        for (const [place, port] of ports.entries()) {
            text = text.replaceAll(`{port${place}}`, String(port));
        }
        return createNode(text);
    });
    for (const node of nodes) {
        await node.start();
        await warmNode(node);
    }
    await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
    store.closeAllConnections();
    runner.closeAllConnections();
}

async function warmNode(node: PlatformNode): Promise<void> {
    const { callers, ready, addresses, metrics } = node.getParts().settings.listen;
    while ((await ask(ready, servedPaths.ready)) !== 200) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
    await ask(addresses, `${servedPaths.resolution}?name=warm.example&region=sample&zone=sample`);
    await ask(metrics, servedPaths.metrics);
    for (let round = 0; round < rounds; round += 1) {
        const id = `${callers.host}-${round}`;
        await Promise.all([
            ask(callers, "/call/1", createHeaders(`call-${id}`)),
            ask(callers, "/booking/1", createHeaders(`booking-${id}`)),
            ask(callers, "/stream/1", { ...createHeaders(`stream-${id}`), ...createPrompt(round) }),
            ask(callers, "/none/1", createHeaders(`none-${id}`)),
        ]);
    }
}

function createHeaders(id: string): Record<string, string> {
    return {
        host: "warm.example",
        [headerNames.requestId]: id,
        [headerNames.deadline]: "5000",
        [headerNames.apiKey]: "key",
    };
}

function createPrompt(round: number): Record<string, string> {
    return {
        [headerNames.model]: "*",
        [headerNames.tokens]: "2000,80",
        [headerNames.promptParts]: `5c1e07a2:800,91bd3f0${round % 4}:410,e4402b7d:790`,
        [headerNames.session]: `session-${round}`,
    };
}

/** The store's topics as they stand: a configuration with every kind of route, and two instances of one runner. */
function createRecords(runnerPort: number): ReadonlyMap<string, readonly (readonly [key: string, value: unknown])[]> {
    const routes = [
        { ...routeDefaults, name: "call", path_prefix: "/call/", route_kind: "idempotent" },
        { ...routeDefaults, name: "booking", path_prefix: "/booking/", route_kind: "non_idempotent", max_attempts: 1 },
        {
            ...routeDefaults,
            name: "stream",
            path_prefix: "/stream/",
            route_kind: "streaming",
            resumable: true,
            sizes: models,
        },
    ];
    const configuration = {
        version: 1,
        routes,
        services: [{ name: "warm", max_conns: 100, engine: { models: models.map(name => ({ name, cost: 1 })) } }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 100_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "sample", api_keys: ["key"] }],
    };
    const upstream = {
        service: "warm",
        address: `${host}:${runnerPort}`,
        zone: "sample",
        version: "v1",
        slots: 20,
        state: "ready",
    };
    return new Map<string, readonly (readonly [string, unknown])[]>([
        [topics.operator, [[recordKeys.configuration, configuration]]],
        [topics.upstreams, [["runner-1", upstream], ["runner-2", upstream]]],
        [topics.status, []],
    ]);
}

function answerAsStore(
    request: IncomingMessage,
    response: ServerResponse,
    records: ReturnType<typeof createRecords>,
): void {
    const url = new URL(request.url ?? "/", "http://store");
    const kept = records.get(url.searchParams.get("topic") ?? "") ?? [];
    if (url.pathname === storePaths.newest) {
        const entries = kept.map(([key, value], offset) => {
            return { key, value: Buffer.from(JSON.stringify(value)).toString("base64"), offset };
        });
        response.end(JSON.stringify({ entries, has_more: false, end_offset: kept.length }));
        return;
    }
    if (url.pathname === storePaths.append) {
        response.end(JSON.stringify({ offset: kept.length, end_offset: kept.length }));
        return;
    }
    const page = Buffer.alloc(16);
    page.writeBigUInt64BE(BigInt(kept.length), 0);
    setTimeout(() => response.end(page), Number(url.searchParams.get("wait_ms") ?? 0));
}

/** Answers streams event by event, the small model without confidence; one call in eight fails. */
function answerAsRunner(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers[headerNames.requestId]);
    request.resume();
    request.once("end", () => {
        const headers = { [headerNames.requestId]: id, [headerNames.seal]: "3e1b.07", [headerNames.load]: "3,0,20" };
        if (request.url?.startsWith("/stream") !== true) {
            response.writeHead(id.startsWith("call") && id.endsWith("5") ? 500 : 200, headers).end("done");
            return;
        }
        const confidence = request.headers[headerNames.model] === models[0] ? "10" : "90";
        response.writeHead(200, {
            ...headers,
            "content-type": "text/event-stream",
            [headerNames.confidence]: confidence,
        });
        for (let event = 1; event <= 8; event += 1) {
            setTimeout(() => response.write(`id: ${event}\ndata: some text of an answer\n\n`), event);
        }
        setTimeout(() => response.end(), 12);
    });
}

async function listen(answer: (request: IncomingMessage, response: ServerResponse) => void): Promise<Server> {
    const server = createServer(answer).listen(0, host);
    await once(server, "listening");
    return server;
}

function getPort(server: Server): number {
    return (server.address() as AddressInfo).port;
}

async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, () => listen(() => undefined)));
    const ports = servers.map(getPort);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Sends a request and reads its answer; returns the status, or undefined when there was no answer. */
function ask(where: Endpoint, path: string, headers: Record<string, string> = {}): Promise<number | undefined> {
    const method = path.startsWith("/v1") ? "GET" : "POST";
    return new Promise(resolve => {
        const request = sendRequest({ ...where, path, headers, method }, response => {
            response.resume();
            response.once("close", () => resolve(response.statusCode));
        });
        request.once("error", () => resolve(undefined));
        request.end();
    });
}
