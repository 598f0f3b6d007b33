import { expect } from "earl";
import { createServer, type Server } from "node:net";
import { after, before, describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../src/common/index.js";
import { createCrashProbe, Reachability } from "../../src/reachability/index.js";
import { isAcceptingConnections } from "../../src/upstream/index.js";
import { createJournal } from "../fixtures/journals.js";

const port = 7_020;
const open = `127.72.56.1:${port}`;
const closed = [`127.72.56.2:${port}`, `127.72.56.3:${port}`, `127.72.56.4:${port}`];

function createProbe(addresses: readonly string[]): (address: string) => Promise<boolean> {
    const upstreams = addresses.map(address => ({ id: address, pool: "pool", address }));
    const reachability = new Reachability({
        clock: new ManualClock(),
        random: new RandomSource(1),
        journal: createJournal().journal,
        getPools: () => ["pool"],
        getUpstreams: () => upstreams,
        probe: isAcceptingConnections,
    });
    return createCrashProbe({
        reachability,
        findUpstream: address => upstreams.find(upstream => upstream.address === address),
    });
}

describe("the check for crashed upstreams", () => {
    let server: Server;
    before(async () => {
        server = createServer(socket => socket.destroy());
        await new Promise<void>(resolve => server.listen(port, "127.72.56.1", resolve));
    });
    after(() => server.close());

    it("finds one that refuses connections while others accept them", async () => {
        expect(await createProbe([open, closed[0]])(closed[0])).toEqual(true);
        expect(await createProbe([open, closed[0]])(open)).toEqual(false);
    });

    it("finds the only one of a pool", async () => {
        expect(await createProbe([closed[0]])(closed[0])).toEqual(true);
    });

    // Guards against a node that has lost its paths and holds the failures of its upstreams against the requests that they ran.
    it("finds none when all refuse connections", async () => {
        expect(await createProbe(closed)(closed[0])).toEqual(false);
    });
});
