/**
 * Signed tokens that carry a session's version, so that its further requests need no look into the log.
 *
 * A token only repeats what a pin decided. It must end well before the pin does: a session that lives on tokens
 * alone would otherwise outlive its pin, and its next visit to the log would pin another version.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";

/** What a token says. */
export interface SessionToken {
    readonly workspace: string;
    readonly session: string;
    readonly version: string;
    /** Wall-clock milliseconds at which the token ends. */
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
 * @param token - What it says.
 * @param secret - The site's secret.
 */
export function createSessionToken(token: SessionToken, secret: string): string {
    const { workspace, session, version, expiresAt } = token;
    const payload = Buffer.from(JSON.stringify({ workspace, session, version, expiresAt })).toString("base64url");
    return `${payload}.${sign(payload, secret)}`;
}

/**
 * Reads a token.
 * @param text - The token as the caller sent it.
 * @param secrets - The site's secret, and older ones that still count while it is being changed.
 * @param now - Wall-clock milliseconds.
 * @returns What it says, or undefined when its signature is wrong or it has ended.
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
