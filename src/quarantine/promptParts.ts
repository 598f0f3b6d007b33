/**
 * Identifies the parts of a prompt that other prompts may contain as well.
 */
import { createHash } from "node:crypto";

/** The parts of a request's prompt, and where they are processed. */
export interface PromptContent {
    /** The pool whose upstreams process the prompt. What crashes one pool's upstreams may be harmless to another's. */
    readonly pool: string;
    /** The parts in order, by identifier or by content. The last one belongs to the request only. */
    readonly parts: readonly string[];
}

/** 96 bits, like the fingerprint of a request. */
const keyBytes = 12;

/** Parts of one prompt that are watched at most. Long conversations have hundreds, and each is hashed. */
const maxParts = 64;

/** Creates the keys of the parts before the last one, in order and each once. They do not reveal the parts. */
export function createPartKeys({ pool, parts }: PromptContent): readonly string[] {
    const keys = new Set<string>();
    for (const part of parts.slice(0, -1).slice(-maxParts)) {
        keys.add(
            createHash("sha256").update(JSON.stringify([pool, part])).digest().subarray(0, keyBytes).toString(
                "base64url",
            ),
        );
    }
    return [...keys];
}
