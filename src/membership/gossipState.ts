/**
 * Holds the values that all nodes publish about themselves, and determines what two nodes have to send each other
 * (scuttlebutt reconciliation).
 *
 * Each origin numbers its changes. A node knows an origin *up to* a version when it has every value at or below that
 * version. One number for each origin therefore tells a peer exactly which values are missing.
 */
import { createHash } from "node:crypto";
import type { Item } from "../generated/peer.js";

/** Key under which each origin publishes the first version of its current run. */
export const incarnationKey = "incarnation";

const itemOverheadBytes = 16;

/** A value of an origin. */
export interface GossipValue {
    readonly version: number;
    readonly value: Buffer;
    readonly removed: boolean;
}

interface OriginState {
    readonly hash: number;
    readonly values: Map<string, GossipValue>;
    /** This node has every value at or below this version. */
    version: number;
    heartbeat: number;
    /** Monotonic time at which the heartbeat last increased. */
    heartbeatAt: number;
}

/** A digest line: the heartbeat and the version up to which an origin is known. */
export interface DigestLine {
    readonly origin: string;
    readonly heartbeat: number;
    readonly version: number;
}

/** Stores the values of all origins. */
export class GossipState {
    readonly #origins = new Map<string, OriginState>();
    /** Origins by hash. Origins whose hashes collide are sent by their full identifiers. */
    readonly #hashes = new Map<number, Set<string>>();

    /** Returns the known origins. */
    getOrigins(): Iterable<string> {
        return this.#origins.keys();
    }

    /**
     * Adds an origin without values.
     * @param origin - Its identifier.
     * @param now - Monotonic time.
     */
    add(origin: string, now: number): void {
        if (this.#origins.has(origin)) {
            return;
        }
        const hash = hashOrigin(origin);
        this.#origins.set(origin, { hash, values: new Map(), version: 0, heartbeat: 0, heartbeatAt: now });
        this.#hashes.set(hash, (this.#hashes.get(hash) ?? new Set()).add(origin));
    }

    /**
     * Removes an origin and its values.
     * @param origin - Its identifier.
     */
    remove(origin: string): void {
        this.#origins.delete(origin);
        this.#hashes.get(hashOrigin(origin))?.delete(origin);
    }

    /**
     * Returns the hash of an origin, or undefined when the hash is not unique or the origin is unknown.
     * @param origin - The origin.
     */
    getHash(origin: string): number | undefined {
        const hash = this.#origins.get(origin)?.hash;
        return hash === undefined || this.#hashes.get(hash)?.size !== 1 ? undefined : hash;
    }

    /**
     * Returns the origin with a hash, or undefined when no origin or more than one has it.
     * @param hash - The hash.
     */
    getByHash(hash: number): string | undefined {
        const origins = this.#hashes.get(hash);
        return origins?.size === 1 ? [...origins][0] : undefined;
    }

    /**
     * Returns a value, or undefined if it is unknown or removed.
     * @param origin - The origin.
     * @param key - The key.
     */
    get(origin: string, key: string): Buffer | undefined {
        const value = this.#origins.get(origin)?.values.get(key);
        return value === undefined || value.removed ? undefined : value.value;
    }

    /**
     * Returns the heartbeat and the version up to which an origin is known.
     * @param origin - The origin.
     */
    getDigestLine(origin: string): DigestLine {
        const state = this.#origins.get(origin);
        return { origin, heartbeat: state?.heartbeat ?? 0, version: state?.version ?? 0 };
    }

    /**
     * Returns the monotonic time at which the heartbeat of an origin last increased, or undefined if none was received.
     * @param origin - The origin.
     */
    getHeartbeatTime(origin: string): number | undefined {
        const state = this.#origins.get(origin);
        return state === undefined || state.heartbeat === 0 ? undefined : state.heartbeatAt;
    }

    /**
     * Stores a heartbeat if it is newer, no matter which peer delivered it. A node that this one cannot reach, or that
     * cannot reach this one, therefore still counts as alive while its heartbeats arrive through other nodes.
     * @param origin - The origin.
     * @param heartbeat - The counter.
     * @param now - Monotonic time.
     */
    setHeartbeat(origin: string, heartbeat: number, now: number): void {
        const state = this.#origins.get(origin);
        if (state !== undefined && heartbeat > state.heartbeat) {
            state.heartbeat = heartbeat;
            state.heartbeatAt = now;
        }
    }

    /**
     * Stores a value if it is newer than the known one.
     * @param item - The value.
     * @returns Whether it was newer.
     */
    setItem(item: Item): boolean {
        const state = this.#origins.get(item.origin);
        const known = state?.values.get(item.key);
        if (state === undefined || (known !== undefined && known.version >= item.version)) {
            return false;
        }
        if (item.key === incarnationKey) {
            removeOlder(state, Number(item.value.toString()));
        }
        state.values.set(item.key, { version: item.version, value: item.value, removed: item.removed });
        return true;
    }

    /**
     * Records that an origin is known up to a version.
     * @param origin - The origin.
     * @param base - Version above which the values were sent without gaps.
     * @param version - The last version that was sent.
     */
    setVersion(origin: string, base: number, version: number): void {
        const state = this.#origins.get(origin);
        // A version below the base means that values are missing: the origin was removed and added again in between.
        if (state !== undefined && state.version >= base) {
            state.version = Math.max(state.version, version);
        }
    }

    /**
     * Collects the values that a peer lacks, ordered by version for each origin, up to a number of bytes.
     * @param peerLines - The versions up to which the peer knows each origin.
     * @param maxBytes - Maximum total bytes. The first value is sent even if it is larger.
     */
    collect(peerLines: readonly DigestLine[], maxBytes: number): Item[] {
        const items: Item[] = [];
        let bytes = 0;
        for (const { origin, version } of peerLines) {
            for (const item of this.#getNewer(origin, version)) {
                bytes += item.origin.length + item.key.length + item.value.length + itemOverheadBytes;
                if (bytes > maxBytes && items.length > 0) {
                    return items;
                }
                items.push(item);
            }
        }
        return items;
    }

    /**
     * Returns the values of all origins under a key.
     * @param key - The key.
     */
    *getAll(key: string): Iterable<{ readonly origin: string; readonly value: Buffer; }> {
        for (const [origin, state] of this.#origins) {
            const value = state.values.get(key);
            if (value !== undefined && !value.removed) {
                yield { origin, value: value.value };
            }
        }
    }

    /**
     * Returns the values of an origin by key, including removed ones.
     * @param origin - The origin.
     */
    getValues(origin: string): ReadonlyMap<string, GossipValue> {
        return this.#origins.get(origin)?.values ?? new Map();
    }

    #getNewer(origin: string, version: number): Item[] {
        const state = this.#origins.get(origin);
        if (state === undefined || state.version <= version) {
            return [];
        }
        const newer: Item[] = [];
        for (const [key, value] of state.values) {
            // A value that was pushed ahead of earlier ones lies above the known version and is sent later.
            if (value.version > version && value.version <= state.version) {
                newer.push({ origin, key, ...value });
            }
        }
        return newer.sort((left, right) => left.version - right.version);
    }
}

/** Returns the hash that stands for an origin in a digest. */
function hashOrigin(origin: string): number {
    return createHash("sha1").update(origin).digest().readUInt32BE(0);
}

/** Removes the values that an origin published before its restart. Its new run does not know those keys. */
function removeOlder(state: OriginState, firstVersion: number): void {
    for (const [key, value] of state.values) {
        if (value.version < firstVersion) {
            state.values.delete(key);
        }
    }
}
