/**
 * Calls of a client to raw runners, for tests of what is sent and read.
 */
import { once } from "node:events";
import type { AddressInfo, Server, Socket } from "node:net";
import type { RegisteredUpstream } from "../../src/fleet/index.js";
import type { UpstreamAnswer, UpstreamCall } from "../../src/forwarding/index.js";
import { UpstreamClient, type UpstreamClientOptions } from "../../src/platform/upstreamClient.js";
import { createCallerRequest } from "../fixtures/forwarders.js";
import { createUpstream } from "../fixtures/upstreams.js";
import { createRawRunner } from "./standins/runnerStandin.js";

const host = "127.71.1.1";
/** A complete answer, whose body is `ok`. */
export const okAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok";

/** What the calls of one test have opened. */
export class UpstreamCalls {
    readonly #opened: { close(): unknown; }[] = [];

    /** Closes everything. */
    async close(): Promise<void> {
        for (const resource of this.#opened.splice(0)) {
            await resource.close();
        }
    }

    /** Starts a runner. */
    async listen(server: Server): Promise<RegisteredUpstream> {
        server.listen(0, host);
        await once(server, "listening");
        this.#opened.push(server);
        return createUpstream("i-1", { address: `${host}:${(server.address() as AddressInfo).port}` });
    }

    /** Creates a client with one connection to each upstream. */
    createClient(options: Partial<UpstreamClientOptions> = {}): UpstreamClient {
        const client = new UpstreamClient({ getConnectionLimit: () => 1, ...options });
        this.#opened.push(client);
        return client;
    }

    /** Calls a raw runner that writes the given bytes for each request. */
    async call(write: (socket: Socket, requestId: string, count: number) => void) {
        const upstream = await this.listen(createRawRunner(write));
        const client = this.createClient();
        return { client, upstream, result: await client.call(upstream, createCall()) };
    }
}

/** Creates a call. */
export function createCall(options: Partial<UpstreamCall> = {}): UpstreamCall {
    return {
        request: createCallerRequest({ headers: ["X-Own", "kept", "Attempt-Id", "request-1"] }),
        getTimeLeft: () => 800.7,
        workspace: "harbour",
        model: undefined,
        urgency: 3,
        lastEventId: undefined,
        isWithdrawn: () => false,
        confirmCaller: () => undefined,
        signal: new AbortController().signal,
        ...options,
    };
}

/** Reads the body of an answer. */
export async function read(answer: UpstreamAnswer): Promise<string> {
    let text = "";
    for await (const piece of answer.body) {
        text += piece.toString();
    }
    return text;
}
