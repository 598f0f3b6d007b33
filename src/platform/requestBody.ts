/**
 * Reads the bodies of callers' requests.
 */
import type { IncomingMessage } from "node:http";
import { smallBodyBytes } from "../forwarding/index.js";

/** Why a body was not read: its size, its caller, or the memory for bodies. */
export type UnreadReason = "too-large" | "gone" | "no-memory";

/** Options of `readBody`. */
export interface BodyOptions {
    /** Maximum size of the body in bytes. */
    readonly limit: number;
    /**
     * Time after which a body for which memory is reserved is given up and its connection closed, in milliseconds. A few callers that
     * send slowly would otherwise take all memory for bodies.
     */
    readonly maxMilliseconds: number;
    /** Waits until there is memory for a number of bytes. Returns false if there was none in time. */
    readonly reserve: (bytes: number) => Promise<boolean>;
}

/**
 * Reads a request's body into one buffer, after memory was reserved for it. A body whose size is not stated is read as far as it is small
 * before the largest size is reserved.
 * @param incoming - The request.
 * @param options - The options.
 */
export async function readBody(incoming: IncomingMessage, options: BodyOptions): Promise<Buffer | UnreadReason> {
    const stated = getStatedLength(incoming);
    if (stated !== undefined && stated > options.limit) {
        return "too-large";
    }
    let timer: NodeJS.Timeout | undefined;
    const reserve = async (bytes: number): Promise<boolean> => {
        const isReserved = await options.reserve(bytes);
        if (isReserved && bytes > smallBodyBytes) {
            timer = setTimeout(() => incoming.destroy(), options.maxMilliseconds);
        }
        return isReserved;
    };
    try {
        return await readPieces(incoming, stated, { ...options, reserve });
    }
    catch {
        // The caller disconnected before its request was complete, or took too long. No answer can be sent.
        return "gone";
    }
    finally {
        clearTimeout(timer);
    }
}

async function readPieces(
    incoming: IncomingMessage,
    stated: number | undefined,
    { limit, reserve }: BodyOptions,
): Promise<Buffer | UnreadReason> {
    let isReserved = stated !== undefined;
    if (stated !== undefined && !await reserve(stated)) {
        return "no-memory";
    }
    let body: Buffer = Buffer.allocUnsafeSlow(stated ?? 0);
    let size = 0;
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
        if (size + chunk.length > limit) {
            return "too-large";
        }
        if (!isReserved && size + chunk.length > smallBodyBytes) {
            isReserved = true;
            if (!await reserve(limit)) {
                return "no-memory";
            }
        }
        body = ensureRoom(body, size, chunk.length);
        size += chunk.copy(body, size);
    }
    return body.subarray(0, size);
}

function getStatedLength({ headers }: IncomingMessage): number | undefined {
    if (headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(headers["content-length"] ?? 0);
}

/** Returns a buffer with room for further bytes, whose size at least doubles when it grows. */
function ensureRoom(buffer: Buffer, used: number, bytes: number): Buffer {
    if (used + bytes <= buffer.length) {
        return buffer;
    }
    const larger = Buffer.allocUnsafeSlow(Math.max(used + bytes, 2 * buffer.length));
    buffer.copy(larger, 0, 0, used);
    return larger;
}
