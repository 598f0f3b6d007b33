/**
 * Converts digests between their form in messages and the form in `GossipState`.
 *
 * At 350 nodes, the digest is the largest part of an exchange. It therefore refers to origins by a hash of four bytes.
 * Origins whose hashes collide are sent by their full identifiers.
 */
import type { DigestEntry } from "../generated/peer.js";
import type { DigestLine, GossipState } from "./gossipState.js";

/** A digest in the form of a message. */
export interface DigestMessage {
    readonly digest: DigestEntry[];
    readonly origins: number[];
    readonly heartbeats: number[];
    readonly versions: number[];
}

/**
 * Encodes digest lines for a message.
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
 * Decodes the digest lines of a message. Lines of unknown origins are omitted.
 * @param state - The state that holds the origins.
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
