/**
 * What a node has measured of the paces of upstreams, in the form in which nodes send it to each other.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import { keyBytes } from "./incarnation.js";
import type { PaceEstimate } from "./mergePaces.js";

/** Maximum number of upstreams in a digest. */
export const maxDigestEntries = 64;

const formatVersion = 1;
/** One byte of version, and the wall time in seconds. */
const headBytes = 5;
const entryBytes = keyBytes + 2;
const stepsOfLogarithm = 24;
const stepsOfWeight = 4;
const maxStep = 127;
const maxWeightStep = 255;

/** The measurements of one node. */
export interface PaceDigest {
    /** Wall-clock time of the measurement, in milliseconds since the Unix epoch, to the second. */
    readonly measuredAt: number;
    /** By key of the upstream's incarnation. */
    readonly estimates: ReadonlyMap<number, PaceEstimate>;
}

/** Encodes a digest. Estimates beyond `maxDigestEntries` are left out. */
export function encodePaceDigest({ measuredAt, estimates }: PaceDigest): Buffer {
    const count = Math.min(estimates.size, maxDigestEntries);
    const bytes = Buffer.alloc(headBytes + count * entryBytes);
    bytes.writeUInt8(formatVersion, 0);
    bytes.writeUInt32BE(Math.floor(measuredAt / 1_000) >>> 0, 1);
    let offset = headBytes;
    for (const [key, { logPace, weight }] of estimates) {
        if (offset >= bytes.length) {
            break;
        }
        const step = Math.round(logPace * stepsOfLogarithm);
        bytes.writeUIntBE(key, offset, keyBytes);
        bytes.writeInt8(Math.min(maxStep, Math.max(-maxStep, step)), offset + keyBytes);
        bytes.writeUInt8(Math.min(maxWeightStep, Math.round(weight * stepsOfWeight)), offset + keyBytes + 1);
        offset += entryBytes;
    }
    return bytes;
}

/** Decodes the digest of another node. */
export function decodePaceDigest(bytes: Buffer): Result<PaceDigest, Failure> {
    const count = (bytes.length - headBytes) / entryBytes;
    if (!Number.isInteger(count) || count < 0 || count > maxDigestEntries || bytes[0] !== formatVersion) {
        return err(
            new Failure({
                kind: "protocol",
                message: "The paces of upstreams that another node published cannot be read.",
                remedy: "Upgrade the older of the two nodes.",
            }),
        );
    }
    const estimates = new Map<number, PaceEstimate>();
    for (let offset = headBytes; offset < bytes.length; offset += entryBytes) {
        const logPace = bytes.readInt8(offset + keyBytes) / stepsOfLogarithm;
        const weight = bytes.readUInt8(offset + keyBytes + 1) / stepsOfWeight;
        estimates.set(bytes.readUIntBE(offset, keyBytes), { logPace, weight });
    }
    return ok({ measuredAt: bytes.readUInt32BE(1) * 1_000, estimates });
}
