import { expect } from "earl";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { limitPipelining } from "../../src/connections/index.js";
import { waitUntil } from "../../src/testbench/index.js";

const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/** Starts a server that answers after a turn of the event loop. */
async function startServer(): Promise<{ readonly server: Server; readonly counts: { served: number; }; }> {
    const counts = { served: 0 };
    const server = createServer(limitPipelining(4, (...[, response]) => {
        counts.served += 1;
        setImmediate(() => response.end("ok"));
    }));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, counts };
}

describe("limitPipelining", () => {
    // Guards against a caller that holds a node's memory with requests whose answers wait behind others.
    it("closes a connection on which too many requests wait for their answers, and handles none beyond them", async () => {
        const { server, counts } = await startServer();
        const connection = connect((server.address() as AddressInfo).port, "127.0.0.1");
        connection.on("error", () => undefined).resume();
        let isClosed = false;
        connection.once("close", () => isClosed = true);
        connection.write(request.repeat(100));
        await waitUntil(() => isClosed, { description: "the end of the connection" });
        expect(counts.served).toEqual(4);
        server.close();
    });

    it("serves any number of requests on a connection one after the other", async () => {
        const { server, counts } = await startServer();
        const connection = connect((server.address() as AddressInfo).port, "127.0.0.1");
        for (let count = 0; count < 20; count += 1) {
            connection.write(request);
            await new Promise(resolve => connection.once("data", resolve));
        }
        expect(counts.served).toEqual(20);
        connection.destroy();
        server.close();
        server.closeAllConnections();
    });
});
