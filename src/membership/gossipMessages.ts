/**
 * Translates digests between their form in messages and the state's.
 *
 * At 350 nodes the digest is the largest part of an exchange, so origins stand in it by a hash of four bytes. Two
 * origins that share one are sent by name.
 */
import type { DigestEntry } from "../generated/peer.js";
import type { DigestLine, GossipState } from "./gossipState.js";

/** A digest as it stands in a message. */
export interface DigestMessage {
    readonly digest: DigestEntry[];
    readonly origins: number[];
    readonly heartbeats: number[];
    readonly versions: number[];
}

/**
 * Writes digest lines into a message.
 * @param state - The state that the lines come from.
 * @param lines - The lines.
 */
export function encodeDigest(state: GossipState, lines: Iterable<DigestLine>): DigestMessage {
    const message: DigestMessage = { digest: [], origins: [], heartbeats: [], versions: [] };
    for (const line of lines) {
        const hash = state.getHash(line.origin);
        if (hash === undefined) {
            message.digest.push({ ...line });
            continue;
        }
        message.origins.push(hash);
        message.heartbeats.push(line.heartbeat);
        message.versions.push(line.version);
    }
    return message;
}

/**
 * Reads the digest lines of a message. Origins that are not known here are left out.
 * @param state - The state that knows the origins.
 * @param message - The message.
 */
export function decodeDigest(state: GossipState, message: DigestMessage): DigestLine[] {
    const lines: DigestLine[] = [...message.digest];
    for (const [index, hash] of message.origins.entries()) {
        const origin = state.getByHash(hash);
        if (origin !== undefined) {
            const heartbeat = message.heartbeats[index] ?? 0;
            lines.push({ origin, heartbeat, version: message.versions[index] ?? 0 });
        }
    }
    return lines;
}
