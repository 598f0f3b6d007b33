import { expect } from "earl";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { Agent } from "undici";
import { createStandin, formatAddress } from "../../src/standins/index.js";
import { callJson } from "../../src/testbench/index.js";
import { VmListClient } from "../../src/upstream/index.js";

const host = "127.10.4.1";
const vm = { address: "127.10.4.9", port: 80, role: "runner", failureDomain: "pasig-a" };

async function withClient(address: string, work: (client: VmListClient) => Promise<void>): Promise<void> {
    const dispatcher = new Agent();
    try {
        await work(new VmListClient({ url: `http://${address}`, dispatcher, timeoutMilliseconds: 5_000 }));
    }
    finally {
        await dispatcher.close();
    }
}

async function listen(server: Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return `${host}:${(server.address() as AddressInfo).port}`;
}

describe("VmListClient", () => {
    // A site has thousands of VMs. Read whole every second, their list takes more of the network than all the rest of
    // control; but a VM that leaves must be seen at the next read, or it goes on getting new work.
    it("reads a list once while it is unchanged, and each change of it", async () => {
        const standin = createStandin("vm-list", { host, port: 0 }, { vm: { a: vm } });
        const address = formatAddress(await standin.start());
        try {
            await withClient(address, async client => {
                const first = (await client.getVms())._unsafeUnwrap();
                expect((await client.getVms())._unsafeUnwrap() === first).toEqual(true);
                await callJson({ address, path: "/vms/a/leaving", method: "POST" });
                expect((await client.getVms())._unsafeUnwrap().map(({ state }) => state)).toEqual(["leaving"]);
                await callJson({ address, path: "/vms/a", method: "PUT", body: vm });
                expect((await client.getVms())._unsafeUnwrap()).toEqual(first);
            });
        }
        finally {
            await standin.stop();
        }
    });

    // The platform answers without tags. A client that went on with the last list would never see a VM leave.
    it("reads the whole list each time from a platform that gives no tags", async () => {
        let reads = 0;
        const server = createServer((_request, response) => {
            reads += 1;
            const vms = [{ ...vm, id: `read-${reads}`, pool: "", region: "", state: "live" }];
            response.setHeader("content-type", "application/json").end(JSON.stringify({ vms }));
        });
        try {
            await withClient(await listen(server), async client => {
                await client.getVms();
                expect((await client.getVms())._unsafeUnwrap().map(({ id }) => id)).toEqual(["read-2"]);
            });
        }
        finally {
            server.closeAllConnections();
            server.close();
        }
    });
});
