import { expect } from "earl";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { type Address, FaultProxy, formatAddress } from "../../../src/standins/index.js";
import { setFaults, waitUntil } from "../../../src/testbench/index.js";

interface Client {
    readonly socket: Socket;
    readonly getReceived: () => string;
    readonly isClosed: () => boolean;
}

describe("FaultProxy", () => {
    let target: Server;
    let proxy: FaultProxy;
    let controlAddress: string;
    let route: Address;
    /**
     * Leads to the same target and has no faults. Once an exchange on it is complete, bytes that were sent earlier on the
     * first route would have arrived as well.
     */
    let otherRoute: Address;
    let receivedByTarget = "";

    beforeEach(async () => {
        receivedByTarget = "";
        target = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                receivedByTarget += bytes.toString().replace("other", "");
                socket.write(bytes);
            });
        });
        await new Promise<void>(resolve => target.listen(0, "127.10.5.1", resolve));
        const { port } = target.address() as { readonly port: number; };
        proxy = new FaultProxy({ host: "127.10.5.2", port: 0 });
        controlAddress = formatAddress(await proxy.start());
        route = await proxy.addRoute("echo", { host: "127.10.5.3", port: 0 }, { host: "127.10.5.1", port });
        otherRoute = await proxy.addRoute("other", { host: "127.10.5.4", port: 0 }, { host: "127.10.5.1", port });
    });

    afterEach(async () => {
        await proxy.stop();
        target.close();
    });

    function openOther(): Client {
        return open(otherRoute);
    }

    function open(to = route): Client {
        const socket = connect(to);
        let received = "";
        let closed = false;
        socket.on("data", bytes => {
            received += bytes.toString();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            closed = true;
        });
        return { socket, getReceived: () => received, isClosed: () => closed };
    }

    async function exchange(client: Client, text: string): Promise<void> {
        client.socket.write(text);
        await waitUntil(() => client.getReceived().endsWith(text), { description: `${text} to come back` });
    }

    it("forwards bytes in both directions without faults", async () => {
        await exchange(open(), "hello");
    });

    it("delays bytes", async () => {
        await setFaults(controlAddress, { route: "echo", delayMilliseconds: 50 });
        const start = performance.now();
        await exchange(open(), "hello");
        expect(performance.now() - start >= 100).toEqual(true);
    });

    // A network switch fails. Open connections break and new ones are refused until it works again.
    it("cuts a route and restores it", async () => {
        const client = open();
        await exchange(client, "hello");
        await setFaults(controlAddress, { route: "echo", cut: true });
        await waitUntil(client.isClosed, { description: "the open connection to break" });
        await waitUntil(open().isClosed, { description: "the new connection to be refused" });
        await setFaults(controlAddress, { route: "echo", cut: false });
        await exchange(open(), "again");
    });

    // The network path stalls. Bytes are held back and arrive in order after it recovers.
    it("holds bytes back while frozen", async () => {
        const client = open();
        await exchange(client, "a");
        await setFaults(controlAddress, { route: "echo", freeze: true });
        client.socket.write("b");
        client.socket.write("c");
        await exchange(openOther(), "other");
        expect([receivedByTarget, client.getReceived()]).toEqual(["a", "a"]);
        await setFaults(controlAddress, { route: "echo", freeze: false });
        await waitUntil(() => client.getReceived() === "abc", { description: "the held bytes" });
    });

    // One direction is lost, as with a wrong firewall rule. The target receives bytes, but its answers never arrive.
    it("drops one direction", async () => {
        await setFaults(controlAddress, { route: "echo", oneWay: "from-target" });
        const client = open();
        client.socket.write("hello");
        await waitUntil(() => receivedByTarget === "hello", { description: "the target to receive" });
        await exchange(openOther(), "other");
        expect(client.getReceived()).toEqual("");
        await setFaults(controlAddress, { route: "echo", oneWay: "none" });
        await waitUntil(client.isClosed, { description: "the connection with a gap to break" });
    });

    // The peer disappears without closing the connection. The connection stays open and no bytes arrive.
    it("drops all bytes while half open", async () => {
        await setFaults(controlAddress, { route: "echo", halfOpen: true });
        const client = open();
        client.socket.write("hello");
        await exchange(openOther(), "other");
        expect([receivedByTarget, client.isClosed()]).toEqual(["", false]);
    });

    // The connection breaks in the middle of an answer. The caller has received only a part of it.
    it("breaks a connection after a number of bytes", async () => {
        const existing = open();
        await exchange(existing, "before");
        await setFaults(controlAddress, { route: "echo", cutAfterBytes: 3 });
        for (const client of [existing, open()]) {
            client.socket.write("hello");
            await waitUntil(client.isClosed, { description: "the connection to break" });
            expect(client.getReceived().replace("before", "")).toEqual("hel");
        }
    });

    it("lists its routes when the requested route is unknown", async () => {
        await expect(setFaults(controlAddress, { route: "missing", cut: true })).toBeRejectedWith(
            "Take one of echo, other",
        );
    });
});
