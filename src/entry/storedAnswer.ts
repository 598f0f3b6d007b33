/**
 * Packs and unpacks answers of plain services, which the log stores under their idempotency keys.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";
import type { ServiceAnswer } from "../upstream/index.js";

/** Maximum size of a stored body, in bytes. A larger body is omitted; the status and the headers are stored. */
const maxStoredBodyBytes = 16 * 1024;

const storedSchema = z.object({
    status: z.number().int(),
    headers: z.record(z.string(), z.string()),
    body: z.string().optional(),
    /** False in answers that were stored before their ends were confirmed, and which may be incomplete. */
    hasKnownEnd: z.boolean().default(true),
});

/**
 * Packs an answer into JSON text.
 * @param answer - The answer.
 */
export function packAnswer(answer: ServiceAnswer): string {
    const body = answer.body.byteLength <= maxStoredBodyBytes
        ? Buffer.from(answer.body).toString("base64")
        : undefined;
    const { status, headers } = answer;
    return JSON.stringify({ status, headers, body });
}

/**
 * Unpacks a stored answer. Fails if its body was too large to be stored, or may be incomplete.
 * @param text - JSON text.
 */
export function unpackAnswer(text: string): Result<ServiceAnswer, Failure> {
    const stored = storedSchema.parse(JSON.parse(text));
    if (stored.body === undefined || !stored.hasKnownEnd) {
        const reason = stored.body === undefined ? "was too large to store" : "may be incomplete";
        return err(
            new Failure({
                kind: "gone",
                message: `The call ran and was answered with status ${stored.status}; its body ${reason}.`,
                remedy: "Ask the service for the result; do not send the call again.",
            }),
        );
    }
    return ok({
        status: stored.status,
        headers: stored.headers,
        body: Buffer.from(stored.body, "base64"),
        loadHeader: undefined,
    });
}
