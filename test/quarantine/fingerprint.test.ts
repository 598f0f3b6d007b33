import { expect } from "earl";
import { describe, it } from "node:test";
import { createFingerprint, type RequestContent } from "../../src/quarantine/index.js";

const content: RequestContent = {
    method: "POST",
    host: "app.example",
    path: "/a/1",
    workspace: "harbour",
    body: Buffer.from("body"),
};

describe("the fingerprint of a request", () => {
    it("is the same when the caller sends it again", () => {
        expect(createFingerprint({ ...content, host: "App.Example", body: "body" })).toEqual(
            createFingerprint(content),
        );
    });

    it("differs with the method, the host, the path, the workspace and the body", () => {
        const others = [
            { method: "PUT" },
            { host: "b.example" },
            { path: "/a/2" },
            { workspace: undefined },
            { body: Buffer.from("other") },
        ];
        const fingerprints = others.map(other => createFingerprint({ ...content, ...other }));
        expect(new Set([createFingerprint(content), ...fingerprints]).size).toEqual(others.length + 1);
    });
});
