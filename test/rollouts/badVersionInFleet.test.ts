import { expect } from "earl";
import { describe, it } from "node:test";
import { createFleetCases } from "./fleetCases.js";
import { FleetReplay } from "./fleetReplay.js";

const nodes = 59;
const requestsPerSecond = 350;
const seeds = [1, 2];
const versions = ["failing in a third", "slow in four of ten", "slow for one kind"];

describe(`a roll-out at a site of ${nodes} nodes`, () => {
    // Guards against a first step of which so little can be learned that the next one, for a third of all sessions, finds the version bad.
    it("is halted before the second step if a third of the answers or of one kind of answers is bad", async () => {
        for (const version of versions) {
            const { name, ...options } = findCase(`${version}, in calm`);
            for (const seed of seeds) {
                const { steps } = await new FleetReplay({ seed, nodes, requestsPerSecond, ...options }).run();
                const maxShare = Math.max(...steps.map(({ share }) => share));
                expect([name, seed, maxShare < 0.0975, steps]).toEqual([name, seed, true, steps]);
            }
        }
    });

    for (const trouble of ["in a burst", "nodes restarted in turn", "nodes added"]) {
        // Guards against steps and halts that rest on what the deciding nodes are told late: a bad version reached everybody meanwhile.
        it(`exposes few requests to a bad version: ${trouble}`, async () => {
            for (const version of versions) {
                const { name, ...options } = findCase(`${version}, ${trouble}`);
                for (const seed of seeds) {
                    const fleet = await new FleetReplay({ seed, nodes, requestsPerSecond, ...options }).run();
                    const isBounded = fleet.exposed <= fleet.allowed && fleet.late === 0;
                    expect([name, seed, fleet.state, isBounded, fleet]).toEqual([name, seed, "reverted", true, fleet]);
                }
            }
        });

        it(`completes a good version in time: ${trouble}`, async () => {
            const { name, ...options } = findCase(`good, ${trouble}`);
            const fleet = await new FleetReplay({ seed: 1, nodes, requestsPerSecond, ...options }).run();
            expect([name, fleet.state, fleet.endedAt! <= options.durationMilliseconds]).toEqual([
                name,
                "completed",
                true,
            ]);
        });
    }
});

function findCase(name: string): ReturnType<typeof createFleetCases>[number] {
    const found = createFleetCases().find(fleet => fleet.name === name);
    if (found === undefined) {
        throw new Error(`no case ${name}`);
    }
    return found;
}
