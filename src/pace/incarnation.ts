/**
 * Keys of upstreams' incarnations, short enough for digests.
 */
import { createHash } from "node:crypto";
import type { RegisteredUpstream } from "../fleet/index.js";

/** Bytes of a key. */
export const keyBytes = 6;

/** What distinguishes an incarnation of an upstream. */
export type Incarnation = Pick<RegisteredUpstream, "id" | "address" | "startedAt">;

interface KnownKey {
    readonly address: string;
    readonly startedAt: number | undefined;
    readonly key: number;
}

/** Derives the keys of incarnations, and remembers those of the registered upstreams. */
export class IncarnationKeys {
    readonly #keys = new Map<string, KnownKey>();

    /** Returns whether the key of an incarnation is remembered. */
    has({ id, address, startedAt }: Incarnation): boolean {
        const known = this.#keys.get(id);
        return known !== undefined && known.address === address && known.startedAt === startedAt;
    }

    /** Returns the key of an incarnation: an integer of 48 bits that all nodes agree on. */
    get({ id, address, startedAt }: Incarnation): number {
        const known = this.#keys.get(id);
        if (known !== undefined && known.address === address && known.startedAt === startedAt) {
            return known.key;
        }
        const hash = createHash("sha256").update(JSON.stringify([id, address, startedAt])).digest();
        const key = hash.readUIntBE(0, keyBytes);
        this.#keys.set(id, { address, startedAt, key });
        return key;
    }

    /**
     * Removes an upstream.
     * @param id - Its identifier.
     * @returns Its last key, if it had any.
     */
    remove(id: string): number | undefined {
        const key = this.#keys.get(id)?.key;
        this.#keys.delete(id);
        return key;
    }
}
