/**
 * Watches the connection of an HTTP request until its response has ended.
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Options of `watchConnection`. */
export interface CallerConnection {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    /** Called when the caller closes its side, or its connection is lost, before the response is complete. May be called again. */
    readonly onDisconnected: () => void;
    /** Called when the response has ended or its connection is closed. */
    readonly onClosed?: () => void;
}

/** Watches a connection. */
export function watchConnection({ incoming, response, onDisconnected, onClosed }: CallerConnection): void {
    const connection = incoming.socket;
    const handleEnd = (): void => {
        if (!response.writableFinished) {
            onDisconnected();
        }
    };
    const handleClose = (): void => {
        connection.removeListener("end", handleEnd);
        connection.removeListener("close", handleClose);
        onClosed?.();
        handleEnd();
    };
    connection.once("end", handleEnd);
    // A response is told of the end of its connection only while it is being sent, not while it waits for the one before it.
    connection.once("close", handleClose);
    response.once("close", handleClose);
}
