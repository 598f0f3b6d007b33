/**
 * Resets connections, also those whose end is on its way.
 */
import type { Socket } from "node:net";

/**
 * Breaks a connection with a reset. While the end that was written to a socket is being sent, Node fails the reset (EINVAL) and never
 * closes the handle; the process then spins in its own exit without end. Such a socket is reset as soon as the end was sent.
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
