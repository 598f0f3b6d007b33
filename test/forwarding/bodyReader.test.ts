import { expect } from "earl";
import { describe, it } from "node:test";
import { BodyReader } from "../../src/forwarding/bodyReader.js";

/** Creates a body that yields nothing until it is released. */
function createBody() {
    let release: () => void = () => {};
    const released = new Promise<void>(resolve => release = resolve);
    async function* read(): AsyncGenerator<Buffer> {
        yield Buffer.from("first");
        await released;
        yield Buffer.from("second");
        throw new Error("broken off");
    }
    return { reader: new BodyReader(read()), release };
}

describe("BodyReader", () => {
    // Guards against an answer with a hole, after its runner was silent and went on.
    it("returns a piece that was waited for in vain", async () => {
        const { reader, release } = createBody();
        expect([await reader.waitForPiece(1_000), String(await reader.read())]).toEqual([true, "first"]);
        expect([await reader.waitForPiece(1), await reader.waitForPiece(1)]).toEqual([false, false]);
        release();
        expect([await reader.waitForPiece(1_000), String(await reader.read())]).toEqual([true, "second"]);
    });

    it("throws in a read when the body breaks off, and not while it waits", async () => {
        const { reader, release } = createBody();
        release();
        await reader.read();
        await reader.read();
        expect(await reader.waitForPiece(1_000)).toEqual(true);
        await expect(reader.read()).toBeRejectedWith("broken off");
    });

    it("ends with the body", async () => {
        async function* readNothing(): AsyncGenerator<Buffer> {}
        const reader = new BodyReader(readNothing());
        expect([await reader.waitForPiece(1_000), await reader.read()]).toEqual([true, undefined]);
    });
});
