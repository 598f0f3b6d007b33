/**
 * Signed tokens with which a caller resumes a stream through any entry.
 *
 * An entry that crashes in the middle of an answer loses its state. The token contains where the answer is and how to
 * bill it, so that another entry can continue. The signature prevents a caller from reading another workspace's answer.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";

const billLineSchema = z.object({
    version: z.string(),
    inputTokens: z.number(),
    cachedTokens: z.number(),
    outputTokens: z.number(),
    cost: z.number(),
});

const resumeSchema = z.object({
    requestId: z.string(),
    streamId: z.string(),
    runner: z.string(),
    version: z.string(),
    workspace: z.string(),
    application: z.string(),
    requestClass: z.string(),
    session: z.string().optional(),
    earlierLines: z.array(billLineSchema),
});

/** Represents what an entry needs to resume an answer. */
export type ResumePoint = z.infer<typeof resumeSchema>;

/**
 * Signs a resume point.
 * @param point - The resume point.
 * @param key - The site's signing key.
 */
export function createResumeToken(point: ResumePoint, key: string): string {
    const payload = Buffer.from(JSON.stringify(point)).toString("base64url");
    return `${payload}.${sign(payload, key)}`;
}

/**
 * Returns the resume point of a token, or `undefined` if the token was not signed with the key.
 * @param token - The token.
 * @param key - The site's signing key.
 */
export function readResumeToken(token: string, key: string): ResumePoint | undefined {
    const [payload, signature] = token.split(".");
    if (payload === undefined || signature === undefined) {
        return undefined;
    }
    const expected = Buffer.from(sign(payload, key));
    const received = Buffer.from(signature);
    if (expected.length !== received.length || !timingSafeEqual(expected, received)) {
        return undefined;
    }
    const parsed = resumeSchema.safeParse(JSON.parse(Buffer.from(payload, "base64url").toString()));
    return parsed.success ? parsed.data : undefined;
}

function sign(payload: string, key: string): string {
    return createHmac("sha256", key).update(payload).digest("base64url");
}
