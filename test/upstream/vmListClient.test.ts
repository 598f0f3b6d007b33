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
    // A site has thousands of VMs. Reading their complete list every second takes more bandwidth than all other control traffic.
    // But a leaving VM must be visible at the next read, or it continues to receive requests.
    it("does not read an unchanged list again, and reads each change", async () => {
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

    // The platform sends no entity tags. A client that kept using its cached list would never detect a leaving VM.
    it("reads the complete list each time when the platform sends no entity tags", async () => {
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
