/**
 * Identifies a request that a caller sends again.
 */
import { createHash } from "node:crypto";

/** The parts of a request that stay the same when its caller sends it again, at any node. */
export interface RequestContent {
    readonly method: string;
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** Undefined for requests that need no API key. */
    readonly workspace: string | undefined;
    readonly body: Uint8Array | string;
}

/** 96 bits. With a million fingerprints, the probability that two different requests share one is below 10^-17. */
const fingerprintBytes = 12;

/**
 * Creates the fingerprint of a request: equal for all attempts of a caller to send the same request. It does not reveal the body.
 * @param content - The request.
 */
export function createFingerprint({ method, host, path, workspace, body }: RequestContent): string {
    return createHash("sha256")
        .update(JSON.stringify([method, host.toLowerCase(), path, workspace ?? ""]))
        .update(body)
        .digest()
        .subarray(0, fingerprintBytes)
        .toString("base64url");
}
