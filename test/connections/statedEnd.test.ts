import { expect } from "earl";
import { describe, it } from "node:test";
import { hasStatedEnd } from "../../src/connections/index.js";

function isStated(headers: readonly string[], { method = "GET", status = 200 } = {}): boolean {
    return hasStatedEnd(method, { status, headers });
}

describe("hasStatedEnd", () => {
    it("knows the end of answers with a length or in chunks", () => {
        expect(isStated(["Content-Length", "0"])).toEqual(true);
        expect(isStated(["transfer-encoding", "Chunked"])).toEqual(true);
        expect(isStated(["Transfer-Encoding", "gzip, chunked"])).toEqual(true);
        expect(isStated(["Transfer-Encoding", "gzip", "Transfer-Encoding", "chunked"])).toEqual(true);
    });

    // Guards against half an answer that is framed as complete since its head has the name of a framing.
    it("knows no end of answers that end with their connection", () => {
        expect(isStated([])).toEqual(false);
        expect(isStated(["Transfer-Encoding", "identity"])).toEqual(false);
        expect(isStated(["Transfer-Encoding", "chunked, gzip"])).toEqual(false);
        expect(isStated(["Transfer-Encoding", "gzip", "Content-Length", "4"])).toEqual(false);
    });

    // Guards against an answer without a body that is asked for once more.
    it("knows the end of answers without a body", () => {
        expect(isStated([], { status: 204 })).toEqual(true);
        expect(isStated([], { status: 304 })).toEqual(true);
        expect(isStated([], { method: "HEAD" })).toEqual(true);
    });
});
