/**
 * Finds out whether the process behind an address has ended.
 */
import { connect } from "node:net";

/** A machine whose process has ended refuses at once; longer waits only delay the caller's next attempt. */
const probeMilliseconds = 150;

/**
 * Opens a connection and closes it again.
 * @param address - The address, as `HOST:PORT`.
 * @returns Whether the machine refused it because nothing listens there. False when the connection was opened or nothing answered.
 */
export function isRefusingConnections(address: string): Promise<boolean> {
    const separator = address.lastIndexOf(":");
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
    return new Promise(resolve => {
        const finish = (isRefusing: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isRefusing);
        };
        const timer = setTimeout(() => finish(false), probeMilliseconds);
        socket.once("connect", () => finish(false));
        socket.on("error", error => finish((error as NodeJS.ErrnoException).code === "ECONNREFUSED"));
    });
}
