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
    let control: string;
    let route: Address;
    /** Leads to the same target and stays well: what a test waits for on it has had time to happen on the first. */
    let otherRoute: Address;
    let arrived = "";

    beforeEach(async () => {
        arrived = "";
        target = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                arrived += bytes.toString().replace("other", "");
                socket.write(bytes);
            });
        });
        await new Promise<void>(resolve => target.listen(0, "127.10.5.1", resolve));
        const { port } = target.address() as { readonly port: number; };
        proxy = new FaultProxy({ host: "127.10.5.2", port: 0 });
        control = formatAddress(await proxy.start());
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

    it("carries bytes both ways when nothing is wrong", async () => {
        await exchange(open(), "hello");
    });

    it("delivers late", async () => {
        await setFaults(control, { route: "echo", delayMilliseconds: 50 });
        const start = performance.now();
        await exchange(open(), "hello");
        expect(performance.now() - start >= 100).toEqual(true);
    });

    // A switch goes: open connections break and new ones are refused, until it is back.
    it("cuts a route and restores it", async () => {
        const client = open();
        await exchange(client, "hello");
        await setFaults(control, { route: "echo", cut: true });
        await waitUntil(client.isClosed, { description: "the open connection to break" });
        await waitUntil(open().isClosed, { description: "the new connection to be refused" });
        await setFaults(control, { route: "echo", cut: false });
        await exchange(open(), "again");
    });

    // The path stalls: bytes wait and arrive in order once it is well again.
    it("holds bytes back while frozen", async () => {
        const client = open();
        await exchange(client, "a");
        await setFaults(control, { route: "echo", freeze: true });
        client.socket.write("b");
        client.socket.write("c");
        await exchange(openOther(), "other");
        expect([arrived, client.getReceived()]).toEqual(["a", "a"]);
        await setFaults(control, { route: "echo", freeze: false });
        await waitUntil(() => client.getReceived() === "abc", { description: "the held bytes" });
    });

    // One direction is lost, as with a broken firewall rule: the target works, and its answers never arrive.
    it("drops one direction", async () => {
        await setFaults(control, { route: "echo", oneWay: "from-target" });
        const client = open();
        client.socket.write("hello");
        await waitUntil(() => arrived === "hello", { description: "the target to receive" });
        await exchange(openOther(), "other");
        expect(client.getReceived()).toEqual("");
        await setFaults(control, { route: "echo", oneWay: "none" });
        await waitUntil(client.isClosed, { description: "the connection with a hole to break" });
    });

    // The other side is gone without a word: the connection stays open and nothing arrives.
    it("swallows everything while half open", async () => {
        await setFaults(control, { route: "echo", halfOpen: true });
        const client = open();
        client.socket.write("hello");
        await exchange(openOther(), "other");
        expect([arrived, client.isClosed()]).toEqual(["", false]);
    });

    // The connection breaks in the middle of an answer: the caller holds a part of it.
    it("breaks a connection after so many bytes", async () => {
        const existing = open();
        await exchange(existing, "before");
        await setFaults(control, { route: "echo", cutAfterBytes: 3 });
        for (const client of [existing, open()]) {
            client.socket.write("hello");
            await waitUntil(client.isClosed, { description: "the connection to break" });
            expect(client.getReceived().replace("before", "")).toEqual("hel");
        }
    });

    it("names its routes when one is unknown", async () => {
        await expect(setFaults(control, { route: "missing", cut: true })).toBeRejectedWith("Take one of echo, other");
    });
});
