import { expect } from "earl";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { resetSocket } from "../../../src/standins/proxy/resetSocket.js";

const host = "127.50.17.1";
const timeoutMilliseconds = 2_000;
const cleanups: (() => void)[] = [];

/** Opens a connection whose server side reads nothing. Returns the client side. */
async function openConnection(): Promise<Socket> {
    const server = createServer({ allowHalfOpen: true }, socket => {
        socket.pause();
        socket.on("error", () => {
            // The reset under test is received as an error.
        });
        cleanups.push(() => socket.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, host, allowHalfOpen: true });
    await new Promise<void>(resolve => socket.once("connect", resolve));
    cleanups.push(() => server.close());
    return socket;
}

/** Returns whether a socket closes before the timeout and without an error. */
function closesCleanly(socket: Socket): Promise<boolean> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve(false), timeoutMilliseconds);
        const resolveOnce = (isClosed: boolean): void => {
            clearTimeout(timer);
            resolve(isClosed);
        };
        socket.once("error", () => resolveOnce(false));
        socket.once("close", () => resolveOnce(true));
    });
}

describe("resetSocket", () => {
    afterEach(() => {
        for (const cleanup of cleanups.splice(0).reverse()) {
            cleanup();
        }
    });

    it("closes an open connection", async () => {
        const socket = await openConnection();
        const closed = closesCleanly(socket);
        resetSocket(socket);
        expect(await closed).toEqual(true);
    });

    // A connection is reset while its FIN is being sent. Without the deferred reset the handle is never closed, and the process that
    // runs the proxy loops at exit: a test run in which all tests passed does not end.
    it("closes a connection whose FIN is being sent", async () => {
        const socket = await openConnection();
        const closed = closesCleanly(socket);
        socket.write("a few bytes");
        socket.end();
        resetSocket(socket);
        expect(await closed).toEqual(true);
    });

    it("closes a connection whose peer reads nothing", async () => {
        const socket = await openConnection();
        const closed = closesCleanly(socket);
        socket.write(Buffer.alloc(20_000_000));
        socket.end();
        resetSocket(socket);
        expect(await closed).toEqual(true);
    });
});
