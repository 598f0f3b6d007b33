/**
 * Signed tokens with a session's version, so that its later requests do not have to read the log.
 *
 * A token repeats the decision of a pin and must expire well before the pin. Otherwise a session that only uses tokens
 * would outlive its pin, and its next claim in the log would pin another version.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";

/** Content of a token. */
export interface SessionToken {
    readonly workspace: string;
    readonly session: string;
    readonly version: string;
    /** Wall-clock milliseconds at which the token expires. */
    readonly expiresAt: number;
}

const tokenSchema = z.object({
    workspace: z.string(),
    session: z.string(),
    version: z.string(),
    expiresAt: z.number(),
});

/**
 * Creates a signed token.
 * @param token - The content.
 * @param secret - The site's signing secret.
 */
export function createSessionToken(token: SessionToken, secret: string): string {
    const { workspace, session, version, expiresAt } = token;
    const payload = Buffer.from(JSON.stringify({ workspace, session, version, expiresAt })).toString("base64url");
    return `${payload}.${sign(payload, secret)}`;
}

/**
 * Verifies and reads a token.
 * @param text - The token in the form that the caller sent.
 * @param secrets - The site's secret, and older ones that remain valid during a change.
 * @param now - Wall-clock milliseconds.
 * @returns The content, or undefined when the signature is wrong or the token has expired.
 */
export function readSessionToken(text: string, secrets: readonly string[], now: number): SessionToken | undefined {
    const [payload, signature, ...rest] = text.split(".");
    if (signature === undefined || rest.length > 0) {
        return undefined;
    }
    if (!secrets.some(secret => isEqual(signature, sign(payload, secret)))) {
        return undefined;
    }
    const token = tokenSchema.safeParse(JSON.parse(Buffer.from(payload, "base64url").toString()));
    return token.success && token.data.expiresAt > now ? token.data : undefined;
}

function sign(payload: string, secret: string): string {
    return createHmac("sha256", secret).update(payload).digest("base64url");
}

function isEqual(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
