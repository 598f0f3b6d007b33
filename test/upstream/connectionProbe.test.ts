import { expect } from "earl";
import { type AddressInfo, createServer } from "node:net";
import { describe, it } from "node:test";
import { isAcceptingConnections, isRefusingConnections } from "../../src/upstream/index.js";

const host = "127.72.55.1";
/** Longer than a probe waits. */
const stallMilliseconds = 700;

function stall(): void {
    const endsAt = performance.now() + stallMilliseconds;
    while (performance.now() < endsAt) {
        // The process does nothing else meanwhile, as when its machine is suspended or overloaded.
    }
}

describe("a probe of an address", () => {
    it("tells an open port from a closed one", async () => {
        const server = createServer(socket => socket.destroy());
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        const address = `${host}:${(server.address() as AddressInfo).port}`;
        expect([await isAcceptingConnections(address), await isRefusingConnections(address)]).toEqual([true, false]);
        await new Promise(resolve => server.close(resolve));
        expect([await isAcceptingConnections(address), await isRefusingConnections(address)]).toEqual([false, true]);
    });

    // Guards against a node that takes its upstreams for unreachable because it stood still itself.
    it("counts a connection that was opened while the process stood still", async () => {
        const server = createServer(socket => socket.destroy());
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        const result = isAcceptingConnections(`${host}:${(server.address() as AddressInfo).port}`);
        stall();
        expect(await result).toEqual(true);
        server.close();
    });
});
