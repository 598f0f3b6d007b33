/**
 * A model runner or an instance of a plain service on the platform, down to the bytes that it writes.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";

/** A request as a runner got it. */
export interface ReceivedRequest {
    readonly method: string;
    readonly target: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
}

/** What a runner does with a request. */
export type RunnerBehaviour = (request: ReceivedRequest, response: ServerResponse) => void | Promise<void>;

/** Serves over HTTP and keeps what it got. */
export class RunnerStandin {
    readonly received: ReceivedRequest[] = [];
    readonly #server: Server;
    behaviour: RunnerBehaviour;

    /** @param behaviour - What it does with a request; by default a sealed answer with the body `done`. */
    constructor(behaviour: RunnerBehaviour = answerDone) {
        this.behaviour = behaviour;
        this.#server = createServer((request, response) => void this.#answer(request, response));
    }

    /** Begins to listen. */
    listen(host: string, port: number): Promise<void> {
        return new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    /** Ends listening and all connections, as a crash does. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const pieces: Buffer[] = [];
        for await (const piece of request as AsyncIterable<Buffer>) {
            pieces.push(piece);
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

/** Returns the headers that vouch for an answer. */
export function createSeal(request: ReceivedRequest): Record<string, string> {
    return { "Attempt-Id": String(request.headers["attempt-id"]), "Server-Seal": "3e1b.07" };
}

/** Answers with the body `done`. */
export function answerDone(request: ReceivedRequest, response: ServerResponse): void {
    response.writeHead(200, createSeal(request)).end("done");
}

/** Listens for raw connections; writes whatever bytes a test wants once a request has come. */
export function createRawRunner(write: (socket: Socket, requestId: string, count: number) => void): TcpServer {
    let count = 0;
    return createTcpServer(socket => {
        socket.on("error", () => {
            // The other side gave the connection up.
        });
        socket.on("data", data => {
            count += 1;
            write(socket, /attempt-id: (\S+)/i.exec(data.toString())?.[1] ?? "", count);
        });
    });
}
