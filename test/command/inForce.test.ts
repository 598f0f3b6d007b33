import { expect } from "earl";
import { describe, it } from "node:test";
import { metroManila, Site, withProcesses } from "../../src/testbench/index.js";
import { runCommand } from "./runCommand.js";

describe("rattanlock withdraw", () => {
    // An operator withdraws a version because its answers are wrong. If the command ended when the log has the record, callers
    // could still get answers of the version. It must wait until every entry reports the withdrawal as in force.
    it("ends only when every running entry has the withdrawal in force", async () => {
        await withProcesses(async group => {
            const site = await Site.start(group, { ...metroManila, prefix: "127.20.12", entryCount: 3 });
            const urls = [
                "--log",
                `http://${site.getPlatformAddress("log")}`,
                "--vm-list",
                `http://${site.getPlatformAddress("vm-list")}`,
            ];
            const run = await runCommand("withdraw", "label-small@5", ...urls, "--wait", "in-force");
            expect([run.code, run.stderr.trim().split("\n").at(-1)]).toEqual([0, "in force on 3 of 3 entries"]);
            for (const entry of site.getEntries()) {
                const { versions } = await site.getStatus(entry.name) as unknown as {
                    readonly versions: readonly { readonly id: string; readonly status: string; }[];
                };
                expect(versions.find(version => version.id === "label-small@5")?.status).toEqual("withdrawn");
            }
        });
    });
});
