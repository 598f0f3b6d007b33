/**
 * Simulates a model runner or an instance of a plain service on the platform, down to the bytes that it writes.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";

/** Path at which a runner answers whether it is healthy; such requests are not recorded. */
const healthPath = "/healthz";

/** A request as a runner received it. */
export interface ReceivedRequest {
    readonly method: string;
    readonly target: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
}

/** Handles a request to a runner. */
export type RunnerBehaviour = (request: ReceivedRequest, response: ServerResponse) => void | Promise<void>;

/** Serves over HTTP and records the requests that it receives. */
export class RunnerStandin {
    readonly received: ReceivedRequest[] = [];
    readonly #server: Server;
    #return: NodeJS.Timeout | undefined;
    behaviour: RunnerBehaviour;

    /** @param behaviour - Handles requests; by default with a sealed answer with the body `done`. */
    constructor(behaviour: RunnerBehaviour = answerDone) {
        this.behaviour = behaviour;
        this.#server = createServer((request, response) => void this.#answer(request, response));
    }

    /** Starts to listen. */
    listen(host: string, port: number): Promise<void> {
        return new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    /** Stops listening and closes all connections, as a crash does. */
    close(): void {
        clearTimeout(this.#return);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Crashes, unless it is down already, and comes back at the same address. */
    crash(downMilliseconds: number): void {
        if (!this.#server.listening) {
            return;
        }
        const { address, port } = this.#server.address() as AddressInfo;
        this.close();
        this.#return = setTimeout(() => this.#server.listen(port, address), downMilliseconds);
    }

    async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const pieces: Buffer[] = [];
        try {
            for await (const piece of request as AsyncIterable<Buffer>) {
                pieces.push(piece);
            }
        }
        catch {
            // The node has ended, or has given the request up, before all of it was sent.
            return;
        }
        if (request.url === healthPath) {
            response.writeHead(200).end();
            return;
        }
        const received: ReceivedRequest = {
            method: request.method ?? "",
            target: request.url ?? "",
            headers: request.headers,
            body: Buffer.concat(pieces).toString(),
        };
        this.received.push(received);
        await this.behaviour(received, response);
    }
}

/** Returns the headers that prove which runner an answer comes from and which request it belongs to. */
export function createSeal(request: ReceivedRequest): Record<string, string> {
    return { "Attempt-Id": String(request.headers["attempt-id"]), "Server-Seal": "3e1b.07" };
}

/** Answers with the body `done`, which is no stream of events. */
export function answerDone(request: ReceivedRequest, response: ServerResponse): void {
    response.writeHead(200, { ...createSeal(request), "Content-Type": "text/plain" }).end("done");
}

/** Creates a TCP server that writes arbitrary bytes for each request. */
export function createRawRunner(write: (socket: Socket, requestId: string, count: number) => void): TcpServer {
    let count = 0;
    return createTcpServer(socket => {
        socket.on("error", () => {
            // The peer closed the connection.
        });
        socket.on("data", data => {
            count += 1;
            write(socket, /attempt-id: (\S+)/i.exec(data.toString())?.[1] ?? "", count);
        });
    });
}
