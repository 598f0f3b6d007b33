import { expect } from "earl";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { describe, it } from "node:test";
import { createPublishRecord } from "../../src/configuration/index.js";
import { AddressBlock, callJson, type RunningProcess, setFaults, withProcesses } from "../../src/testbench/index.js";
import { runCommand } from "./runCommand.js";

const addresses = new AddressBlock("127.20.10");
const example = resolve("examples/catania.ini");

/** Writes a variant of the example and returns its path. */
function writeVariant(from: string | RegExp, to: string): string {
    const file = join(mkdtempSync(join(tmpdir(), "rattanlock-")), "tree.ini");
    writeFileSync(file, readFileSync(example, "utf8").replace(from, to));
    return file;
}

/** Runs a function with a log in which the example is published. */
async function withPublished(work: (log: RunningProcess, flags: readonly string[]) => Promise<void>): Promise<void> {
    await withProcesses(async group => {
        const log = await group.startStandin("log", addresses.next());
        const flags = ["--log", `http://${log.getAddress()}`, "--author", "anna"];
        const published = await runCommand("publish", example, ...flags);
        expect([published.code, published.stderr]).toEqual([0, ""]);
        await work(log, flags);
    });
}

/** Publishes a change as another operator would do concurrently. */
async function publishAs(
    log: RunningProcess,
    author: string,
    key: string,
    value: string,
    basedOn: number,
): Promise<void> {
    const change = { section: "workspace.trials", key, value };
    const record = createPublishRecord({ author, reason: "race", basedOn, changes: [change] }, author);
    await callJson({ address: log.getAddress(), path: "/streams/config", method: "POST", body: record });
}

describe("rattanlock", () => {
    describe("check", () => {
        it("passes the examples", async () => {
            for (const name of ["catania", "metro-manila"]) {
                expect((await runCommand("check", resolve(`examples/${name}.ini`))).code).toEqual(0);
            }
        });

        it("reports every error and exits with 2", async () => {
            const run = await runCommand(
                "check",
                writeVariant("target_quality = 0.8", "target_qualty = 0.8\nshare = heavy"),
            );
            expect(run.code).toEqual(2);
            expect(run.stderr.includes("Did you mean target_quality?")).toEqual(true);
            expect(run.stderr.includes("share:")).toEqual(true);
        });
    });

    describe("publish", () => {
        it("publishes only the differences, and show displays the origin of each value", async () => {
            await withPublished(async (...[, flags]) => {
                const file = writeVariant("first_token_ms = 600", "first_token_ms = 650");
                const published = await runCommand("publish", file, ...flags, "--json");
                expect(JSON.parse(published.stdout)).toEqual({
                    offset: 1,
                    changes: [{
                        section: "workspace.shipyard-catania.application.bench",
                        key: "first_token_ms",
                        value: "650",
                    }],
                });
                const shown = await runCommand("show", "shipyard-catania/bench/chat", ...flags, "--json");
                const { settings, versions } = JSON.parse(shown.stdout);
                expect(settings.find((setting: { key: string; }) => setting.key === "first_token_ms")).toEqual({
                    key: "first_token_ms",
                    value: "650",
                    origin: "workspace.shipyard-catania.application.bench",
                });
                expect(versions).toEqual([
                    { id: "plan-small@2", status: "serving" },
                    { id: "bench@5", status: "serving" },
                    { id: "bench@4", status: "draining" },
                ]);
            });
        });

        // The log appends the record and the connection breaks. If the command reported a failure, the operator would publish
        // again.
        it("reports success after a lost acknowledgement", async () => {
            await withPublished(async (log, flags) => {
                await setFaults(log.getAddress(), { lostAcknowledgements: 1 });
                const file = writeVariant("first_token_ms = 600", "first_token_ms = 650");
                const run = await runCommand("publish", file, ...flags);
                expect([run.code, run.stdout.includes("Accepted at offset 1")]).toEqual([0, true]);
            });
        });

        // Another operator changed the tree after this file was written. Publishing the file would silently revert that change.
        it("refuses a file that is based on an older tree than the one in force", async () => {
            await withPublished(async (log, flags) => {
                await publishAs(log, "bruno", "priority", "7", 1);
                const run = await runCommand("publish", example, ...flags, "--based-on", "1");
                expect([run.code, run.stderr.includes("The tree changed at offset 1")]).toEqual([1, true]);
            });
        });

        // A file that was written before a withdrawal would restore the bad version, and callers would get its answers again.
        it("restores no withdrawn version without --lift-withdrawals", async () => {
            await withPublished(async (...[, flags]) => {
                expect((await runCommand("withdraw", "bench@5", ...flags)).code).toEqual(0);
                const refused = await runCommand("publish", example, ...flags);
                expect([refused.code, refused.stderr.includes("bench@5")]).toEqual([1, true]);
                expect((await runCommand("publish", example, ...flags, "--lift-withdrawals")).code).toEqual(0);
            });
        });

        // Two operators publish different values of one key concurrently. If both commands reported success, one operator would
        // assume a setting that is not in force.
        it("accepts exactly one of two concurrent publications that are based on the same tree", async () => {
            await withPublished(async (...[, flags]) => {
                const files = ["650", "700"].map(value =>
                    writeVariant("first_token_ms = 600", `first_token_ms = ${value}`)
                );
                const runs = await Promise.all(
                    files.map(file => runCommand("publish", file, ...flags, "--based-on", "1")),
                );
                expect(runs.map(run => run.code).sort()).toEqual([0, 1]);
                const winner = runs[0].code === 0 ? "650" : "700";
                const shown = await runCommand("show", ...flags);
                expect(shown.stdout.includes(`first_token_ms = ${winner}`)).toEqual(true);
            });
        });

        it("exits with 3 when the log is unavailable", async () => {
            const url = `http://${addresses.next()}`;
            const run = await runCommand("publish", example, "--log", url, "--timeout", "1");
            expect([run.code, run.stderr.includes("nothing was published")]).toEqual([3, true]);
        });

        it("waits until every live entry has the change in force", async () => {
            await withPublished(async (...[, flags]) => {
                const [vmAddress, nodeAddress] = [addresses.next(), addresses.next()];
                const [address, port] = nodeAddress.split(":");
                let requests = 0;
                const node = await serveJson(nodeAddress, () => ({ configurationOffset: (requests += 1) > 2 ? 2 : 1 }));
                const vm = { id: "e1", address, port: 1, role: "entry", state: "live", failureDomain: "hall-mole" };
                const list = await serveJson(vmAddress, () => ({ vms: [{ ...vm, operatorPort: Number(port) }] }));
                const file = writeVariant("first_token_ms = 600", "first_token_ms = 650");
                const vmFlags = ["--vm-list", `http://${vmAddress}`, "--wait", "in-force"];
                const run = await runCommand("publish", file, ...flags, ...vmFlags);
                const status = await runCommand("status", "--vm-list", `http://${vmAddress}`);
                node.close();
                list.close();
                expect(run.code).toEqual(0);
                expect(run.stderr.trim().split("\n").at(0)).toEqual("in force on 0 of 1 entries");
                expect(run.stderr.trim().split("\n").at(-1)).toEqual("in force on 1 of 1 entries");
                expect(status.stdout.includes("hall-mole")).toEqual(true);
            });
        });
    });

    describe("history", () => {
        it("names the change that superseded a rejected one", async () => {
            await withPublished(async (log, flags) => {
                await publishAs(log, "bruno", "priority", "7", 1);
                await publishAs(log, "carla", "priority", "6", 1);
                const run = await runCommand("history", ...flags);
                expect(run.stdout.includes("race (superseded by bruno at 1)")).toEqual(true);
            });
        });
    });

    describe("drain", () => {
        it("suggests the closest version for an unknown one", async () => {
            await withPublished(async (...[, flags]) => {
                const run = await runCommand("drain", "bensh@5", ...flags);
                expect([run.code, run.stderr.includes("Did you mean bench@5?")]).toEqual([2, true]);
            });
        });
    });
});

/** Serves one JSON document on every path. */
async function serveJson(address: string, getBody: () => object) {
    const [host, port] = address.split(":");
    const server = createServer((...[, response]) => response.end(JSON.stringify(getBody())));
    await new Promise<void>(resolveListening => server.listen(Number(port), host, resolveListening));
    return server;
}
