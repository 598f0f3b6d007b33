/**
 * Decodes what upstreams register.
 */
import { z } from "zod";
import type { RegisteredUpstream } from "../fleet/index.js";

const upstreamSchema = z.object({
    service: z.string(),
    address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/),
    zone: z.string(),
    version: z.string(),
    slots: z.number().int().positive(),
    state: z.enum(["ready", "draining"]),
    /** Unix milliseconds of the runner's start. */
    born: z.number().int().optional(),
    models: z.array(z.object({ name: z.string(), version: z.number() })).default([]),
});

/**
 * Decodes an upstream's entry.
 * @param id - Key of the record, the upstream's identifier.
 * @param value - Its value. Another writer may have left anything here.
 * @returns Undefined when the entry names no upstream to use.
 */
export function decodeUpstream(id: string, value: Buffer): RegisteredUpstream | undefined {
    let content: unknown;
    try {
        content = JSON.parse(value.toString());
    }
    catch {
        // The caller logs the key; the bytes are of no use to anybody.
        return undefined;
    }
    const parsed = upstreamSchema.safeParse(content);
    if (!parsed.success) {
        return undefined;
    }
    const entry = parsed.data;
    return {
        id,
        address: entry.address,
        pool: entry.service,
        failureDomain: entry.zone,
        version: entry.version,
        slots: entry.slots,
        isLeaving: entry.state === "draining",
        startedAt: entry.born,
        models: entry.models.map(model => ({ name: model.name, weightsVersion: model.version })),
    };
}
