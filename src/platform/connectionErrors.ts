/**
 * Handles bytes on callers' connections that are no request, and requests that are not sent completely.
 */
import { type IncomingMessage, STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

/** Statuses by the error codes of the HTTP library. */
const statuses: ReadonlyMap<string | undefined, number> = new Map([
    ["HPE_HEADER_OVERFLOW", 431],
    ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
    ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);
const malformedStatus = 400;

/**
 * Refuses what cannot be read, but never on a connection on which a request runs: its caller would take the refusal for the answer
 * to that request. 408 promises that it has not run.
 */
export class ConnectionErrors {
    /** Requests of a connection whose answers have not been sent. */
    readonly #requests = new WeakMap<Duplex, Set<IncomingMessage>>();
    /** Connections that close after the answers to their running requests. */
    readonly #closing = new WeakSet<Duplex>();

    /**
     * Adds a request whose headers have arrived.
     * @returns A function to call once when its answer has been sent.
     */
    add(request: IncomingMessage): () => void {
        const connection = request.socket;
        const requests = this.#requests.get(connection) ?? new Set();
        this.#requests.set(connection, requests.add(request));
        return () => {
            requests.delete(request);
            if (requests.size === 0 && this.#closing.has(connection)) {
                connection.destroy();
            }
        };
    }

    /**
     * Handles an error of a connection, after which nothing more is read from it.
     * @param error - The error of the HTTP library.
     * @param connection - The connection.
     */
    handle(error: NodeJS.ErrnoException, connection: Duplex): void {
        if (connection.destroyed) {
            return;
        }
        if (this.#isAnyRunning(connection)) {
            this.#closing.add(connection);
            return;
        }
        if (connection.writable) {
            const status = statuses.get(error.code) ?? malformedStatus;
            connection.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
        }
        connection.destroy();
    }

    /** Returns whether a whole request of a connection was read and not answered yet. */
    #isAnyRunning(connection: Duplex): boolean {
        return [...this.#requests.get(connection) ?? []].some(request => request.complete);
    }
}
