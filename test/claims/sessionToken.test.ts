import { expect } from "earl";
import { describe, it } from "node:test";
import { createSessionToken, readSessionToken } from "../../src/claims/index.js";

const token = { workspace: "agenzia", session: "bench-1", version: "plan@1", expiresAt: 1_000 };

describe("readSessionToken", () => {
    it("reads a signed token, also under an older secret", () => {
        const text = createSessionToken(token, "old");
        expect(readSessionToken(text, ["new", "old"], 999)).toEqual(token);
    });

    it("rejects tokens that are forged, truncated, signed with another secret, or expired", () => {
        const text = createSessionToken(token, "secret");
        const [payload, signature] = text.split(".");
        const forged = createSessionToken({ ...token, version: "plan@2" }, "other");
        const cases = [
            payload,
            `${payload}.`,
            `${payload}.${signature}.`,
            `${forged.split(".")[0]}.${signature}`,
            forged,
        ];
        for (const wrong of cases) {
            expect(readSessionToken(wrong, ["secret"], 0)).toEqual(undefined);
        }
        expect(readSessionToken(text, ["secret"], 1_000)).toEqual(undefined);
    });
});
