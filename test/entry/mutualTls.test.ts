import { expect } from "earl";
import { copyFileSync, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { PeerClient } from "../../src/membership/index.js";
import { metroManila, ProcessGroup, Site, waitUntil } from "../../src/testbench/index.js";
import { readTestCredentials } from "../fixtures/certificates.js";

const certificates = join("test", "fixtures", "certificates");

describe("mutual TLS between entries", () => {
    const group = new ProcessGroup();
    const folder = mkdtempSync(join(tmpdir(), "rattanlock-tls-"));
    let site: Site;

    function installCertificate(name: "site-first" | "site-second"): void {
        copyFileSync(join(certificates, `${name}.pem`), join(folder, "entry.pem"));
        copyFileSync(join(certificates, `${name}-key.pem`), join(folder, "entry.key"));
        copyFileSync(join(certificates, "site-authority.pem"), join(folder, "authority.pem"));
    }

    before(async () => {
        installCertificate("site-first");
        site = await Site.start(group, {
            ...metroManila,
            prefix: "127.60.4",
            entryCount: 2,
            entrySettings: {
                tls: {
                    certificate: join(folder, "entry.pem"),
                    key: join(folder, "entry.key"),
                    authority: join(folder, "authority.pem"),
                    server_name: "rattanlock.test",
                },
            },
        });
    });

    after(() => group.killAll());

    async function isAnswered(client: PeerClient): Promise<boolean> {
        const [address, port] = site.getEntryOrThrow("entry-1").callerAddress.split(":");
        const peer = { id: "entry-1", address, peerPort: Number(port) + 1 };
        const reply = await client.fetchState(peer, {
            stream: "config",
            knownOffset: 0,
            counter: 0,
            waitMilliseconds: 0,
            whole: false,
        });
        client.close();
        return reply.isOk();
    }

    // An unauthorized client connects to an entry's port for peers, without a certificate or with one of another
    // authority. It could read every workspace's settings and spread halts, so it must not get an answer.
    it("answers only clients with a certificate signed by the site's authority", async () => {
        expect(await isAnswered(new PeerClient({ credentials: readTestCredentials("site-second") }))).toEqual(true);
        expect(await isAnswered(new PeerClient({ credentials: readTestCredentials("other-first") }))).toEqual(false);
        expect(await isAnswered(new PeerClient())).toEqual(false);
    });

    // Certificates expire and are renewed on the running VMs. An entry that needs a restart to use the new one would
    // drop its callers; one that continued to use the old certificate would be rejected by the others on the day it
    // expires.
    it("uses renewed certificates without a restart", async () => {
        installCertificate("site-second");
        for (const entry of site.getEntries()) {
            await waitUntil(() => entry.process.getEvents().some(line => line.name === "credentials-renewed"), {
                description: `${entry.name} to use the renewed certificate`,
            });
        }
        await site.getEntryOrThrow("entry-2").process.kill();
        await site.startEntry("entry-2");
        await site.waitUntilReady();
    });
});
