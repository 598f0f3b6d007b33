/**
 * Reads whether an answer to a request for a sign of life is one of the upstream that was asked.
 */
import type { Dispatcher } from "undici";
import { z } from "zod";
import { hasStatedEnd } from "../connections/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { Liveness } from "../reachability/index.js";
import { destroyBody } from "./destroyBody.js";
import { findHeader } from "./headers.js";
import { headerNames } from "./wire.js";

const misdirectedStatus = 421;
const jsonType = "application/json";
/** Bytes of an answer that are read at most; a longer one is not read to its end. */
const maxBodyBytes = 64 * 1024;

/** What an upstream says of its start, in Unix milliseconds. */
const startSchema = z.object({ born: z.number() });

/**
 * Returns what an answer shows of an upstream. With any status it runs, a rejection too; not so by an answer to another request, or one
 * of another upstream, or of this one after it has started anew.
 * @param response - The answer, whose body is read or discarded.
 * @param upstream - The upstream that was asked.
 * @param requestId - The identifier of the request.
 */
export async function readLiveness(
    response: Dispatcher.ResponseData,
    upstream: RegisteredUpstream,
    requestId: string,
): Promise<Liveness> {
    const raw = response.headers as unknown as readonly string[];
    const { statusCode: status, body } = response;
    const echoedId = findHeader(raw, headerNames.requestId);
    const runner = findHeader(raw, headerNames.runner);
    const isAnswer = echoedId === undefined || echoedId === requestId;
    const isOther = status === misdirectedStatus || (runner !== undefined && runner !== upstream.id);
    if (!isAnswer || isOther || !hasStatedEnd("GET", { status, headers: raw })) {
        destroyBody(response);
        if (!isAnswer) {
            return "unanswered";
        }
        return isOther ? "replaced" : "running";
    }
    const type = findHeader(raw, "content-type")?.split(";")[0].trim().toLowerCase();
    if (type !== jsonType) {
        await body.dump({ limit: maxBodyBytes });
        return "running";
    }
    return isSameStart(await readStart(body), upstream) ? "running" : "replaced";
}

/** Reads a body as far as the bound, also one whose length is not stated. */
async function readStart(body: AsyncIterable<Buffer>): Promise<string> {
    const pieces: Buffer[] = [];
    let bytes = 0;
    for await (const piece of body) {
        pieces.push(piece);
        bytes += piece.length;
        if (bytes > maxBodyBytes) {
            break;
        }
    }
    return Buffer.concat(pieces).toString();
}

/** Returns whether an upstream says that it started when it was registered to have, or does not say when. */
function isSameStart(text: string, { startedAt }: RegisteredUpstream): boolean {
    const stated = startSchema.safeParse(parse(text));
    return !stated.success || startedAt === undefined || stated.data.born === startedAt;
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // The head is the sign of life. A body that cannot be read says nothing of the start.
        return undefined;
    }
}
