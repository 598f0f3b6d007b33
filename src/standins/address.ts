/**
 * Addresses of stand-ins: an IP number and a port.
 */
import { Failure } from "../common/index.js";

/** Where a process listens. */
export interface Address {
    /** IP number. */
    readonly host: string;
    readonly port: number;
}

/**
 * Reads an address.
 * @param text - `HOST:PORT`; port 0 takes any free port.
 */
export function parseAddress(text: string): Address {
    const match = /^([\d.]+):(\d+)$/.exec(text);
    if (!match) {
        throw new Failure({
            kind: "invalid-input",
            message: `"${text}" is no address.`,
            remedy: "Write IP-NUMBER:PORT, such as 127.10.1.1:7000.",
        });
    }
    return { host: match[1], port: Number(match[2]) };
}

/** Writes an address as `HOST:PORT`. */
export function formatAddress(address: Address): string {
    return `${address.host}:${address.port}`;
}
