/**
 * Decodes the records with which upstreams register.
 */
import { isIPv4 } from "node:net";
import { z } from "zod";
import type { RegisteredUpstream } from "../fleet/index.js";

const maxPort = 65_535;
/** Identifiers are sent in a header: visible ASCII characters of a limited number. */
const idPattern = /^[\x21-\x7e]{1,128}$/;

const upstreamSchema = z.object({
    service: z.string(),
    address: z.string().refine(isAddress),
    zone: z.string(),
    version: z.string(),
    slots: z.number().int().positive(),
    state: z.enum(["ready", "draining"]),
    /** Unix time at which the runner started, in milliseconds. */
    born: z.number().int().optional(),
    cold_left_ms: z.number().nonnegative().default(0),
    /** Grows with each heartbeat. */
    seq_no: z.number().optional(),
    models: z.array(z.object({ name: z.string(), version: z.number() })).default([]),
});

/**
 * Decodes an upstream's record.
 * @param id - The record's key, which is the upstream's identifier.
 * @param value - The record's value. It is untrusted: any writer may have written it.
 * @returns The upstream, or undefined when the record is invalid.
 */
export function decodeUpstream(id: string, value: Buffer): RegisteredUpstream | undefined {
    if (!idPattern.test(id)) {
        return undefined;
    }
    let content: unknown;
    try {
        content = JSON.parse(value.toString());
    }
    catch {
        // The caller logs the key. The bytes would not help to find the cause.
        return undefined;
    }
    const parsed = upstreamSchema.safeParse(content);
    if (!parsed.success) {
        return undefined;
    }
    const record = parsed.data;
    return {
        id,
        address: record.address,
        pool: record.service,
        failureDomain: record.zone,
        version: record.version,
        slots: record.slots,
        isLeaving: record.state === "draining",
        startedAt: record.born,
        sequenceNumber: record.seq_no,
        warmUpMilliseconds: record.cold_left_ms,
        models: record.models.map(model => ({ name: model.name, weightsVersion: model.version })),
    };
}

/**
 * Returns whether a text is `IP:PORT`. The HTTP library throws for others, and a request that was never sent would be reported as one
 * that may have run.
 */
function isAddress(text: string): boolean {
    const [, ip, port] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? [];
    return ip !== undefined && isIPv4(ip) && Number(port) > 0 && Number(port) <= maxPort;
}
