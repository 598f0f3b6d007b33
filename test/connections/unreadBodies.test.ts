import { expect } from "earl";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { leaveBodiesUnread } from "../../src/connections/index.js";
import { waitUntil } from "../../src/testbench/index.js";

const pieceBytes = 65_536;
const bodyBytes = 256 * pieceBytes;
/** What the kernels of both sides hold of a connection, and what the library reads at a time. */
const maxReadBytes = 2 * pieceBytes;

/** Starts a server that answers at once and counts what it has read. */
async function startServer(): Promise<{ readonly server: Server; readonly getReadBytes: () => number; }> {
    let getReadBytes = (): number => 0;
    const server = createServer(leaveBodiesUnread((...[, response]) => response.end("ok")));
    server.on("connection", connection => getReadBytes = () => connection.bytesRead);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, getReadBytes: () => getReadBytes() };
}

describe("leaveBodiesUnread", () => {
    for (
        const [name, framing] of Object.entries({
            "with a length": `content-length: ${bodyBytes}`,
            "in one chunk": `transfer-encoding: chunked\r\n\r\n${bodyBytes.toString(16)}`,
        })
    ) {
        // Guards against a caller that holds a node's memory with bodies where none is expected.
        it(`answers, reads no body and closes the connection: a body ${name}`, async () => {
            const { server, getReadBytes } = await startServer();
            const connection = connect((server.address() as AddressInfo).port, "127.0.0.1");
            let [answer, isClosed] = ["", false];
            connection.on("error", () => undefined);
            connection.on("data", data => answer += data.toString("latin1"));
            connection.once("close", () => isClosed = true);
            connection.write(`GET / HTTP/1.1\r\nhost: a\r\n${framing}\r\n\r\n`);
            await waitUntil(() => answer !== "", { description: "the answer" });
            connection.write(Buffer.alloc(bodyBytes));
            await waitUntil(() => isClosed, { description: "the end of the connection" });
            expect([answer.startsWith("HTTP/1.1 200 "), getReadBytes() < maxReadBytes]).toEqual([true, true]);
            server.close();
        });
    }

    it("keeps the connection of a request without a body", async () => {
        const { server } = await startServer();
        const connection = connect((server.address() as AddressInfo).port, "127.0.0.1");
        for (let count = 0; count < 3; count += 1) {
            connection.write("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
            await new Promise(resolve => connection.once("data", resolve));
        }
        expect(connection.destroyed).toEqual(false);
        connection.destroy();
        server.close();
        server.closeAllConnections();
    });
});
