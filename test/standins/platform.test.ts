import { expect } from "earl";
import { describe, it } from "node:test";
import { createStandin, formatAddress } from "../../src/standins/index.js";
import { call, callJson, setFaults, waitUntil } from "../../src/testbench/index.js";
import type { Vm } from "../../src/world/index.js";

async function withStandin(kind: string, settings: object, test: (address: string) => Promise<void>): Promise<void> {
    const standin = createStandin(kind, { host: "127.10.3.1", port: 0 }, settings);
    const address = formatAddress(await standin.start());
    try {
        await test(address);
    }
    finally {
        await standin.stop();
    }
}

async function getStates(address: string): Promise<string> {
    const { vms } = await callJson<{ readonly vms: readonly Vm[]; }>({ address, path: "/vms" });
    return vms.map(vm => `${vm.id} ${vm.state}`).join(", ");
}

const vm = { address: "127.10.3.9", port: 80, role: "runner", failureDomain: "pasig-a" };

describe("VmList", () => {
    // A VM is leaving, but the list lags and still shows it as live for a while. Callers are sent to a VM that is about to
    // stop.
    it("lags behind the current state", async () => {
        await withStandin("vm-list", { vm: { a: vm } }, async address => {
            await setFaults(address, { lagMilliseconds: 60_000 });
            await callJson({ address, path: "/vms/a/leaving", method: "POST" });
            await callJson({ address, path: "/vms/b", method: "PUT", body: vm });
            expect(await getStates(address)).toEqual("a live");
            await setFaults(address, { lagMilliseconds: 1 });
            await waitUntil(async () => await getStates(address) === "a leaving, b live", {
                description: "the list to show the changes",
            });
            await callJson({ address, path: "/vms/a", method: "DELETE" });
            await waitUntil(async () => await getStates(address) === "b live", { description: "the VM to be removed" });
        });
    });
});

describe("WeightStore", () => {
    // Many engines load a version at the same time and exceed the store's rate limit. Most of them are rejected and load the
    // version later.
    it("serves its versions and limits the rate of reads", async () => {
        await withStandin("weight-store", { versions: "plan@1", readsPerSecond: 8 }, async address => {
            const getStatus = async (version: string): Promise<number> =>
                (await call({ address, path: `/weights/${version}` })).status;
            expect(await getStatus("plan@1")).toEqual(200);
            expect(await getStatus("plan@2")).toEqual(404);
            await setFaults(address, { readsPerSecond: 0 });
            await getStatus("plan@1");
            expect(await getStatus("plan@1")).toEqual(429);
        });
    });
});

describe("RatingService", () => {
    const rating = { id: "r", version: "plan@1", class: "plan", question: "q" };

    async function rate(address: string, answer: string): Promise<number | undefined> {
        const body = { ...rating, answer };
        return (await callJson<{ readonly score: number; } | undefined>({
            address,
            path: "/ratings",
            method: "POST",
            body,
        }))?.score;
    }

    it("scores the true quality, and a truncated answer with 0", async () => {
        await withStandin("rating", { noise: 0 }, async address => {
            expect(await rate(address, "answer r by plan@1: edge [quality 0.830]")).toEqual(0.83);
            expect(await rate(address, "answer r by plan@1: edge [qual")).toEqual(0);
        });
    });

    it("leaves answers unrated", async () => {
        await withStandin("rating", { missingProbability: 1 }, async address => {
            expect(await rate(address, "answer [quality 0.830]")).toEqual(undefined);
        });
    });
});
