/**
 * Bounds how many requests a caller may send on a connection before their answers.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Listeners of one event that a request may add to its connection. */
const listenersPerRequest = 2;

/**
 * Closes connections on which more requests wait for their answers than a number. The HTTP library parses all of them at once, and each
 * holds memory until the answers before it are read, which may be never.
 * @param maxRequests - The number.
 * @param listener - Handles the requests.
 */
export function limitPipelining(maxRequests: number, listener: RequestListener): RequestListener {
    const open = new WeakMap<Socket, number>();
    return (request: IncomingMessage, response: ServerResponse) => {
        const connection = request.socket;
        const requests = (open.get(connection) ?? 0) + 1;
        // Each request listens on its connection for the caller's end, which is no leak.
        connection.setMaxListeners(listenersPerRequest * maxRequests);
        if (connection.destroyed || requests > maxRequests) {
            connection.destroy();
            return;
        }
        open.set(connection, requests);
        response.once("close", () => open.set(connection, open.get(connection)! - 1));
        listener(request, response);
    };
}
