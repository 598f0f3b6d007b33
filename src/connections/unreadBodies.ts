/**
 * Leaves the bodies of requests unread where none is expected.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";

/**
 * Answers requests without reading their bodies, and closes the connections of those that have one. The HTTP library would otherwise read
 * and discard a body of any size after the answer, which takes more memory than the answer itself.
 * @param listener - Handles the requests.
 */
export function leaveBodiesUnread(listener: RequestListener): RequestListener {
    return (request: IncomingMessage, response: ServerResponse) => {
        if (hasBody(request)) {
            response.shouldKeepAlive = false;
        }
        listener(request, response);
    };
}

function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
