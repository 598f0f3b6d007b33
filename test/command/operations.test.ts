import { expect } from "earl";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { Caller, callJson, getApiKey, metroManila, ProcessGroup, Site, waitUntil } from "../../src/testbench/index.js";
import { createTreeChanges } from "../../src/testbench/site/siteFiles.js";
import { type CommandRun, runCommand } from "./runCommand.js";

describe("rattanlock on a running site", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    let site: Site;

    before(async () => {
        site = await Site.start(group, { ...metroManila, prefix: "127.20.13", entryCount: 2 });
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    function run(...args: readonly string[]): Promise<CommandRun> {
        const urls = [
            "--log",
            `http://${site.getPlatformAddress("log")}`,
            "--vm-list",
            `http://${site.getPlatformAddress("vm-list")}`,
        ];
        return runCommand(...args, ...urls);
    }

    async function isHalted(version: string): Promise<boolean> {
        for (const entry of site.getEntries()) {
            const { versions } = await site.getStatus(entry.name);
            if (versions.find(({ id }) => id === version)?.halted !== true) {
                return false;
            }
        }
        return true;
    }

    function requestChat() {
        return caller.chat({
            entry: site.getEntryOrThrow("entry-1").callerAddress,
            key: getApiKey("banquet"),
            model: "label-small",
            text: "Draft a label.",
        });
    }

    describe("rollout start", () => {
        it("starts a roll-out that status shows, and abort ends it", async () => {
            const started = await run("rollout", "start", "label-small@6", "label-small@5", "--name", "first");
            expect([started.code, started.stderr]).toEqual([0, ""]);
            const status = await run("rollout", "status", "--json");
            const { rollouts } = JSON.parse(status.stdout) as { rollouts: { id: string; state: string; }[]; };
            expect(rollouts.map(({ id, state }) => [id, state])).toEqual([["first", "active"]]);
            expect((await run("rollout", "abort", "first")).code).toEqual(0);
            expect((await run("rollout", "abort", "first")).code).toEqual(1);
        });

        it("refuses versions of different models and unknown ones", async () => {
            expect((await run("rollout", "start", "label-small@6", "label-large@3")).code).toEqual(1);
            expect((await run("rollout", "start", "label-small@9", "label-small@5")).code).toEqual(1);
        });
    });

    describe("publish", () => {
        // Entries are upgraded one after another to a newer release. An operator publishes a record in the newer format while
        // one old entry remains. The old entry would stop at the record, keep its old tree, and finally refuse its callers.
        it("refuses a change that an older entry cannot read until that entry is removed", async () => {
            const server = createServer((_request, response) => void response.end("{\"configurationOffset\": 1}"));
            await new Promise<void>(resolve => server.listen(0, "127.20.13.250", resolve));
            // If a failed test left the server open, it would keep the test process alive.
            server.unref();
            const { port } = server.address() as AddressInfo;
            const vm = { address: "127.20.13.250", port: 1, role: "entry", pool: "", failureDomain: "makati" };
            await callJson({
                address: site.getPlatformAddress("vm-list"),
                path: "/vms/old",
                method: "PUT",
                body: { ...vm, id: "old", region: "metro-manila", state: "live", peerPort: port - 1 },
            });
            const file = join(mkdtempSync(join(tmpdir(), "rattanlock-pools-")), "tree.ini");
            const sections: Record<string, Record<string, string>> = { "pool.lm-pool": { orders: "false" } };
            for (const { section, key, value } of createTreeChanges(metroManila)) {
                sections[section] = { ...sections[section], [key]: value ?? "" };
            }
            const lines = Object.entries(sections).map(([name, keys]) =>
                [`[${name}]`, ...Object.entries(keys).map(([key, value]) => `${key} = ${value}`)].join("\n")
            );
            writeFileSync(file, lines.join("\n\n"));
            const refused = await run("publish", file);
            expect([refused.code, refused.stderr.includes("old")]).toEqual([1, true]);
            await callJson({ address: site.getPlatformAddress("vm-list"), path: "/vms/old", method: "DELETE" });
            const accepted = await run("publish", file, "--wait", "in-force");
            expect([accepted.code, accepted.stderr.includes("in force on 2 of 2")]).toEqual([0, true]);
        });
    });

    describe("halt", () => {
        it("stops a version on every entry until it is lifted", async () => {
            expect((await run("halt", "label-small@5", "--reason", "wrong labels")).code).toEqual(0);
            await waitUntil(() => isHalted("label-small@5"), { description: "the halt on both entries" });
            expect((await requestChat()).status).toEqual(503);
            expect((await run("lift", "label-small@5")).code).toEqual(0);
            await waitUntil(async () => (await requestChat()).isComplete, { description: "an answer after the lift" });
            expect((await run("lift", "label-small@5")).code).toEqual(1);
        });
    });

    describe("explain and timeline", () => {
        it("show where a request was routed", async () => {
            const { requestId = "" } = await requestChat();
            const explained = await run("explain", requestId);
            expect(explained.stdout).toEqual(expect.includes("plan: label-small@5"));
            expect(explained.stdout).toEqual(expect.includes("runner: runner-"));
            const shown = await run("timeline", requestId);
            expect(shown.stdout).toEqual(expect.includes("400 request-planned"));
            expect(shown.stdout).toEqual(expect.includes("403 request-answered"));
        });

        it("write a page that contains the events", async () => {
            const { requestId = "" } = await requestChat();
            const page = join(mkdtempSync(join(tmpdir(), "rattanlock-page-")), "request.html");
            expect((await run("timeline", requestId, "--html", page)).code).toEqual(0);
            expect(readFileSync(page, "utf8")).toEqual(expect.includes("request-dispatched"));
        });

        it("fail when no entry has data about the request", async () => {
            expect((await run("explain", "no-such-request")).code).toEqual(1);
            expect((await run("timeline", "no-such-request")).code).toEqual(1);
        });
    });

    describe("upstreams", () => {
        it("shows every upstream with the number of entries connected to it", async () => {
            const shown = await run("upstreams", "--json");
            const { upstreams } = JSON.parse(shown.stdout) as { upstreams: Record<string, { entries: number; }>; };
            expect(Object.keys(upstreams).length).toEqual(10);
            expect(upstreams["runner-1"].entries).toEqual(2);
        });
    });
});
