import { expect } from "earl";
import { copyFileSync, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { Caller, getApiKey, metroManila, ProcessGroup, Site, waitUntil } from "../../src/testbench/index.js";

const certificates = join("test", "fixtures", "certificates");

describe("mutual TLS towards upstreams", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    const folder = mkdtempSync(join(tmpdir(), "rattanlock-upstream-tls-"));
    const key = getApiKey("commissary");
    let site: Site;

    function installCertificate(name: "site-first" | "site-second" | "other-first"): void {
        copyFileSync(join(certificates, `${name}.pem`), join(folder, "entry.pem"));
        copyFileSync(join(certificates, `${name}-key.pem`), join(folder, "entry.key"));
        copyFileSync(join(certificates, "site-authority.pem"), join(folder, "authority.pem"));
    }

    before(async () => {
        installCertificate("site-first");
        const settings = {
            "tls.portOffset": 40,
            "tls.certificate": join(certificates, "site-second.pem"),
            "tls.key": join(certificates, "site-second-key.pem"),
            "tls.authority": join(certificates, "site-authority.pem"),
        };
        site = await Site.start(group, {
            ...metroManila,
            prefix: "127.60.11",
            entryCount: 1,
            hasProxiedLinks: true,
            runners: { name: "lm-pool", count: 1, settings: { stepMilliseconds: 5, ...settings } },
            services: { name: "label-app", count: 1, settings },
            entrySettings: {
                upstream_tls: {
                    certificate: join(folder, "entry.pem"),
                    key: join(folder, "entry.key"),
                    authority: join(folder, "authority.pem"),
                    server_name: "rattanlock.test",
                },
            },
        });
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    async function expectServed(): Promise<void> {
        const [{ callerAddress: entry }] = site.getEntries();
        const chat = await caller.chat({ entry, key, text: "Does the soy glaze hold sesame?", streamed: true });
        expect([chat.status, chat.isComplete]).toEqual([200, true]);
        const print = await caller.callService({
            entry,
            key,
            pool: "label-app",
            path: "/print",
            idempotencyKey: `label-${Math.random()}`,
            body: "label",
        });
        expect(print.status).toEqual(200);
    }

    // Recipes and answers cross a network that is shared with others. The upstreams refuse clients without a
    // certificate, so an entry that connects without TLS gets no answer at all.
    it("serves models and plain services that require a client certificate", async () => {
        await expectServed();
    });

    // The entry's certificate is renewed while it serves. If it retained the old one in memory, upstreams would reject
    // it from the day on which that certificate expires.
    it("uses renewed certificates for new connections without a restart", async () => {
        const [entry] = site.getEntries();
        const countRenewals = () =>
            entry.process.getEvents().filter(line => line.name === "credentials-renewed").length;
        installCertificate("other-first");
        await waitUntil(() => countRenewals() === 1, {
            description: "a certificate that no upstream trusts to be in use",
        });
        await site.setLinkFaults(entry.name, "runner-1", { cut: true });
        await site.setLinkFaults(entry.name, "runner-1", { cut: false });
        const refused = await caller.chat({ entry: entry.callerAddress, key, text: "Is there sesame?" });
        expect(refused.status).not.toEqual(200);
        installCertificate("site-first");
        await waitUntil(() => countRenewals() === 2, { description: "the renewed certificate to be in use" });
        await waitUntil(async () => {
            const answer = await caller.chat({ entry: entry.callerAddress, key, text: "Is there sesame now?" });
            return answer.isComplete;
        }, { description: "an answer under the renewed certificate" });
    });
});
