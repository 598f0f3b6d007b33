import { expect } from "earl";
import { describe, it } from "node:test";
import {
    AddressBlock,
    call,
    type RunningProcess,
    setFaults,
    waitUntil,
    withProcesses,
} from "../../src/testbench/index.js";

const addresses = new AddressBlock("127.10.6");

describe("withProcesses", () => {
    const kinds = ["log", "vm-list", "weight-store", "rating", "engine", "service", "proxy"];
    for (const kind of kinds) {
        it(`starts a ${kind} stand-in that stops with exit code 0`, async () => {
            await withProcesses(async group => {
                const standin = await group.startStandin(kind, addresses.next());
                expect((await call({ address: standin.getAddress(), path: "/faults" })).status).toEqual(200);
                expect(await standin.stop()).toEqual(0);
                expect(standin.getEvents().map(line => line.name)).toEqual([
                    "process-started",
                    "process-stopping",
                    "process-stopped",
                ]);
            });
        });
    }

    it("ends its processes when the work fails", async () => {
        let standin: RunningProcess | undefined;
        const failing = withProcesses(async group => {
            standin = await group.startStandin("log", addresses.next());
            standin.pause();
            throw new Error("the work failed");
        });
        await expect(failing).toBeRejectedWith("the work failed");
        expect(standin?.hasExited()).toEqual(true);
    });

    it("reports the output of a process that does not become ready", async () => {
        await withProcesses(async group => {
            await expect(group.startStandin("nothing", addresses.next())).toBeRejectedWith("Take one of log");
        });
    });

    // A stalled VM keeps its connections open, but its process answers nothing until it is resumed.
    it("pauses and resumes a process", async () => {
        await withProcesses(async group => {
            const standin = await group.startStandin("log", addresses.next());
            const address = standin.getAddress();
            standin.pause();
            await expect(call({ address, path: "/faults", timeoutMilliseconds: 200 })).toBeRejected();
            standin.resume();
            await waitUntil(() => setFaults(address, {}).then(() => true, () => false), {
                description: "the process to be resumed",
            });
        });
    });
});

describe("waitUntil", () => {
    it("names the condition that did not hold before the timeout", async () => {
        const waiting = waitUntil(() => false, { description: "a result", timeoutMilliseconds: 30 });
        await expect(waiting).toBeRejectedWith("for a result");
    });
});
