import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { createConfiguration, PlatformSite } from "./platformSite.js";

const nodeCount = 3;
/** The users' bound for a configuration to be in force. */
const applyMilliseconds = 2_000;
/** How long the store is away before it comes back from its copy. */
const awayMilliseconds = 1_000;
/** Calls of one node in a second after the store's return, beyond which it would be asked for nothing. */
const maxCallsPerNodeSecond = 20;

// The store is away for a moment and comes back from an older copy: what was written since is lost, and its offsets are given out again.
describe("nodes after the store came back from an older copy", () => {
    const site = new PlatformSite("127.72.63");
    after(() => site.stop());
    before(async () => {
        await site.start(3);
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, nodeCount);
        }
    });

    /** Loses what `write` writes, and brings the store back. */
    async function loseWrites(write: () => Promise<void>): Promise<void> {
        const copy = site.store.takeCopy();
        await write();
        site.store.fault = "silent";
        await sleep(awayMilliseconds);
        site.store.restore(copy);
        site.store.fault = "well";
    }

    function publish(version: number, keys: readonly string[]): void {
        site.store.put("keyed.op", "config", createConfiguration(version, keys));
    }

    async function waitForVersion(version: number): Promise<void> {
        const hasVersion = (): boolean =>
            site.nodes.every(({ events }) =>
                events.some(line => line.name === "routes-in-force" && line.version === version)
            );
        await waitUntil(hasVersion, { description: `version ${version}`, timeoutMilliseconds: applyMilliseconds });
    }

    async function readStatuses(key: string): Promise<readonly number[]> {
        const answers = site.nodes.map(node => site.send(node, { headers: { "api-key": key } }));
        return (await Promise.all(answers)).map(({ status }) => status);
    }

    const everywhere = (status: number): readonly number[] => site.nodes.map(() => status);

    // Guards against a revoked key that still works, and against new keys that do not, until the topic has grown past its old end.
    it("put each further configuration into force in time, twice", async () => {
        let version = 1;
        for (const round of ["first", "second"]) {
            await loseWrites(async () => {
                for (let count = 0; count < 8; count += 1) {
                    version += 1;
                    publish(version, ["key", round]);
                }
                await waitForVersion(version);
            });
            // The operator writes again what was lost, and then something new.
            publish(version, ["key", round]);
            expect(await readStatuses(round)).toEqual(everywhere(200));
            version += 1;
            publish(version, ["key"]);
            await waitForVersion(version);
            expect(await readStatuses(round)).toEqual(everywhere(401));
            expect(await readStatuses("key")).toEqual(everywhere(200));
        }
    });

    // Guards against nodes that ask the store hundreds of times a second for an offset that it does not have.
    it("do not ask the store again and again", async () => {
        await loseWrites(async () => {
            for (let count = 0; count < 8; count += 1) {
                publish(100 + count, ["key"]);
            }
            await waitForVersion(107);
        });
        await sleep(500);
        const before = site.store.calls.length;
        await sleep(2_000);
        const calls = site.store.calls.length - before;
        expect(calls).toBeLessThanOrEqual(2 * nodeCount * maxCallsPerNodeSecond);
        publish(108, ["key"]);
        await waitForVersion(108);
    });
});

// The nodes have started after the copy was made: the store knows none of their own records.
describe("what nodes wrote themselves and the store has lost", () => {
    const site = new PlatformSite("127.72.64");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
    });

    // Guards against nodes that are not found by those that start later, since their records are gone.
    it("is written again: the records by which nodes find each other", async () => {
        const copy = site.store.takeCopy();
        for (const index of [1, 2]) {
            await site.waitForReady(site.startNode(index));
        }
        const isKnown = (): boolean =>
            site.nodes.every(({ address }) => site.store.get("keyed.status", `member/${address}`) !== undefined);
        await waitUntil(isKnown, { description: "the records of both nodes" });
        site.store.restore(copy);
        expect(isKnown()).toEqual(false);
        await waitUntil(isKnown, { description: "the records of both nodes, written again" });
        await site.waitForReady(site.startNode(3));
        await site.waitForAddresses(site.nodes[2], 3);
    });

    // Guards against an operator who never learns that a roll-out has ended, and against nodes that begin it anew after a restart.
    it("is written again: the end of a roll-out", async () => {
        const copy = site.store.takeCopy();
        const order = { service: "pool", target: "v2", deadline_s: 6 };
        const getState = (): unknown =>
            (site.store.get("keyed.status", "rollout/pool") as { state?: unknown; } | undefined)?.state;
        await site.addRunner("i-new", "v2");
        site.store.put("keyed.op", "rollout/pool", order);
        await waitUntil(() => getState() === "completed", {
            description: "the end of the roll-out",
            timeoutMilliseconds: 8_000,
        });
        site.store.restore(copy);
        site.register("i-new", { version: "v2" });
        site.store.put("keyed.op", "rollout/pool", order);
        expect(getState()).toEqual(undefined);
        await waitUntil(() => getState() === "completed", {
            description: "the end of the roll-out, written again",
            timeoutMilliseconds: 5_000,
        });
        const restarted = site.nodes[0];
        restarted.child.kill("SIGKILL");
        await restarted.exited;
        await site.waitForReady(site.startNode(1));
        const received = site.runners.get("i-new")!.received.length;
        for (let count = 0; count < 10; count += 1) {
            expect((await site.send(site.nodes[0])).status).toEqual(200);
        }
        expect(site.runners.get("i-new")!.received.length - received).toEqual(10);
        expect(getState()).toEqual("completed");
    });
});

// The store comes back from an older copy while a node cannot notice it.
describe("nodes that were away while the store came back from an older copy", () => {
    const site = new PlatformSite("127.72.71", { evacuate_ms: 2_000 });
    after(() => site.stop());
    before(async () => {
        await site.start(3);
        site.register("i-3", { zone: "west" });
        for (const index of [1, 2, 3]) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, 3);
        }
    });

    function isInForce(version: number): boolean {
        return site.nodes.every(({ events }) =>
            events.some(line => line.name === "routes-in-force" && line.version === version)
        );
    }

    /** Lets the store lose versions while a node is away, and publishes one more after its return. */
    async function checkReturn(version: number, leave: () => void, comeBack: () => void): Promise<void> {
        const copy = site.store.takeCopy();
        for (let count = 0; count < 6; count += 1) {
            site.store.put("keyed.op", "config", createConfiguration(version + count));
        }
        await waitUntil(() => isInForce(version + 5), { description: "the versions that are lost" });
        leave();
        site.store.fault = "silent";
        await sleep(awayMilliseconds);
        site.store.restore(copy);
        site.store.fault = "well";
        site.store.put("keyed.op", "config", createConfiguration(version + 6));
        await sleep(awayMilliseconds);
        comeBack();
        await waitUntil(() => isInForce(version + 6), {
            description: "the version after the return",
            timeoutMilliseconds: applyMilliseconds,
        });
    }

    it("put the next configuration into force after a pause", async () => {
        const { child } = site.nodes[0];
        await checkReturn(10, () => void child.kill("SIGSTOP"), () => void child.kill("SIGCONT"));
    });

    // Guards against a node that reads through peers alone and stays with what it knew before.
    it("put the next configuration into force although the store refuses them", async () => {
        const { address } = site.nodes[1];
        await checkReturn(20, () => site.store.faultsByCaller.set(address, "busy"), () => {});
        site.store.faultsByCaller.clear();
    });

    // Guards against a node that starts with the copy, and against the others that are asked by it.
    it("put the next configuration into force after a start in between", async () => {
        await checkReturn(30, () => void site.nodes[2].child.kill("SIGKILL"), () => void site.startNode(3));
        await site.waitForReady(site.nodes[2]);
    });

    // Guards against requests to an evacuated failure domain, as the copy was made before its evacuation.
    it("go on with an evacuation that the store has lost until it is written again", async () => {
        const copy = site.store.takeCopy();
        site.store.put("keyed.op", "evacuate/west", {});
        const isEvacuated = (): boolean =>
            site.nodes.every(({ events }) => events.some(line => line.name === "evacuation-started"));
        await waitUntil(isEvacuated, { description: "the evacuation" });
        const evacuated = site.runners.get("i-3")!;
        const received = evacuated.received.length;
        site.store.restore(copy);
        const until = performance.now() + 2_000;
        while (performance.now() < until) {
            await Promise.all(site.nodes.map(node => site.send(node)));
        }
        site.store.put("keyed.op", "evacuate/west", {});
        await sleep(4_000);
        await Promise.all(site.nodes.map(node => site.send(node)));
        expect(evacuated.received.length).toEqual(received);
    });
});
