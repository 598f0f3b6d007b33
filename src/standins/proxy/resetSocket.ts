/**
 * Resets connections, including those whose FIN is being sent.
 */
import type { Socket } from "node:net";

/**
 * Breaks a connection with a reset. While the FIN of an ended socket is being sent, Node fails the reset with EINVAL and never
 * closes the handle. The process then loops at exit and never ends. Such a socket is reset after its FIN was sent.
 * @param socket - One side of the connection.
 */
export function resetSocket(socket: Socket): void {
    const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    if (isEnding && !socket.destroyed) {
        socket.once("finish", () => socket.resetAndDestroy());
        return;
    }
    socket.resetAndDestroy();
}
