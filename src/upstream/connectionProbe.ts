/**
 * Finds out whether connections to an address can be opened.
 */
import { connect } from "node:net";
import { ReadTimeout } from "../common/index.js";

/** A machine whose process has ended refuses at once; longer waits only delay the caller's next attempt. */
const crashProbeMilliseconds = 150;
/** Connecting takes a millisecond or two. A machine that is down or cut off does not respond at all. */
const reachProbeMilliseconds = 400;

/**
 * Result of opening a connection.
 * - `opened`: the connection was established.
 * - `refused`: the machine answered that nothing listens at the address.
 * - `failed`: the connection failed in another way, such as by a timeout.
 */
type ProbeResult = "opened" | "refused" | "failed";

/**
 * Opens a connection and closes it again.
 * @param address - The address, as `HOST:PORT`.
 * @returns Whether the machine refused it because nothing listens there. False when the connection was opened or nothing answered.
 */
export async function isRefusingConnections(address: string): Promise<boolean> {
    return await probe(address, crashProbeMilliseconds) === "refused";
}

/**
 * Opens a connection and closes it again.
 * @param address - The address, as `HOST:PORT`.
 * @returns Whether it was opened.
 */
export async function isAcceptingConnections(address: string): Promise<boolean> {
    return await probe(address, reachProbeMilliseconds) === "opened";
}

function probe(address: string, timeoutMilliseconds: number): Promise<ProbeResult> {
    const separator = address.lastIndexOf(":");
    const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
    return new Promise(resolve => {
        const finish = (result: ProbeResult): void => {
            timeout.clear();
            socket.destroy();
            resolve(result);
        };
        const timeout = new ReadTimeout(timeoutMilliseconds, () => finish("failed"));
        socket.once("connect", () => finish("opened"));
        socket.on("error", error => {
            finish((error as NodeJS.ErrnoException).code === "ECONNREFUSED" ? "refused" : "failed");
        });
    });
}
