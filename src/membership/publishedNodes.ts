/**
 * What nodes publish about themselves through gossip.
 */
import { z } from "zod";

const nodeSchema = z.object({
    address: z.string(),
    peerPort: z.number(),
    failureDomain: z.string(),
    region: z.string(),
    /** The protocols that the node reads. */
    oldest: z.number(),
    newest: z.number(),
});

/** A node as it describes itself. */
export type PublishedNode = z.infer<typeof nodeSchema>;

interface ParsedNode {
    readonly value: Buffer | undefined;
    readonly node: PublishedNode | undefined;
}

/**
 * Parses the published values, each of them once. With hundreds of members, parsing them for each list of members took most of its
 * time.
 */
export class PublishedNodes {
    readonly #parsed = new Map<string, ParsedNode>();

    /**
     * Parses the value that a node published.
     * @param id - The node.
     * @param value - The value; undefined if none was received.
     * @returns The node, or undefined if there is no value or it cannot be read.
     */
    parse(id: string, value: Buffer | undefined): PublishedNode | undefined {
        const known = this.#parsed.get(id);
        if (known !== undefined && known.value === value) {
            return known.node;
        }
        const node = parseNode(value);
        this.#parsed.set(id, { value, node });
        return node;
    }

    /** Removes what a node published. */
    remove(id: string): void {
        this.#parsed.delete(id);
    }
}

function parseNode(value: Buffer | undefined): PublishedNode | undefined {
    if (value === undefined) {
        return undefined;
    }
    try {
        return nodeSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        // Another release may publish another format. The node then counts as one of the oldest supported release.
        return undefined;
    }
}
