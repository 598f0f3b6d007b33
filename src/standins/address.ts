/**
 * Addresses of stand-ins: an IP address and a port.
 */
import { Failure } from "../common/index.js";

/** Address at which a process listens. */
export interface Address {
    /** IP address. */
    readonly host: string;
    readonly port: number;
}

/**
 * Parses an address.
 * @param text - `HOST:PORT`; port 0 selects any free port.
 */
export function parseAddress(text: string): Address {
    const match = /^([\d.]+):(\d+)$/.exec(text);
    if (!match) {
        throw new Failure({
            kind: "invalid-input",
            message: `"${text}" is not an address.`,
            remedy: "Use IP-ADDRESS:PORT, such as 127.10.1.1:7000.",
        });
    }
    return { host: match[1], port: Number(match[2]) };
}

/** Formats an address as `HOST:PORT`. */
export function formatAddress(address: Address): string {
    return `${address.host}:${address.port}`;
}
