/**
 * Lists the nodes that have a record in the platform's store. Gossip determines which of them are alive.
 */
import { z } from "zod";
import type { Vm } from "../world/index.js";
import type { NodeIdentity } from "./peerAddress.js";

/** The record that a node stores about itself. */
export interface MemberRecord extends NodeIdentity {
    /** Port on which it serves callers. */
    readonly callerPort: number;
}

const recordSchema = z.object({
    id: z.string(),
    address: z.string(),
    peerPort: z.number(),
    callerPort: z.number(),
    failureDomain: z.string(),
    region: z.string(),
});

/** Folds the records of nodes into the list of all nodes. */
export class MemberDirectory {
    readonly #records = new Map<string, MemberRecord>();
    readonly #onChange: (vms: readonly Vm[]) => void;

    /** @param onChange - Receives all nodes when one is added, changed or removed. */
    constructor(onChange: (vms: readonly Vm[]) => void) {
        this.#onChange = onChange;
    }

    /**
     * Returns the port on which a node serves callers.
     * @param id - The node.
     */
    getCallerPort(id: string): number | undefined {
        return this.#records.get(id)?.callerPort;
    }

    /**
     * Applies records or their removals, and calls `onChange` once. A node that starts reads hundreds of records at a
     * time. With a call for each of them, the list of members would be computed as often, while callers wait for the
     * node.
     * @param changed - Records as JSON by node; undefined for a removed record.
     * @returns The nodes whose records could not be read.
     */
    apply(changed: Iterable<readonly [id: string, value: Buffer | undefined]>): readonly string[] {
        const unreadable: string[] = [];
        let hasChanged = false;
        for (const [id, value] of changed) {
            if (this.#applyRecord(id, value)) {
                hasChanged = true;
            }
            else {
                unreadable.push(id);
            }
        }
        if (hasChanged) {
            this.#onChange(Array.from(this.#records.values(), toVm));
        }
        return unreadable;
    }

    #applyRecord(id: string, value: Buffer | undefined): boolean {
        if (value === undefined) {
            this.#records.delete(id);
            return true;
        }
        const record = parseRecord(value);
        if (record === undefined) {
            return false;
        }
        this.#records.set(id, record);
        return true;
    }
}

function toVm(record: MemberRecord): Vm {
    return {
        id: record.id,
        address: record.address,
        port: record.callerPort,
        role: "entry",
        pool: "",
        failureDomain: record.failureDomain,
        region: record.region,
        state: "live",
        peerPort: record.peerPort,
    };
}

function parseRecord(value: Buffer): MemberRecord | undefined {
    try {
        return recordSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        // The caller logs the key of the record. An unreadable record identifies no node.
        return undefined;
    }
}
