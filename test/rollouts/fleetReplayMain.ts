/**
 * Replays roll-outs of fleets by hand: every kind of version beside every trouble, many seeds. Prints one line for each case.
 * Usage: node dist/test/rollouts/fleetReplayMain.js [nodes] [requests a second] [first seed] [seeds] [part of a case's name]
 */
import { createFleetCases } from "./fleetCases.js";
import { FleetReplay } from "./fleetReplay.js";

const [nodes = 59, requestsPerSecond = 350, firstSeed = 1, seeds = 3] = process.argv.slice(2, 6).map(Number);
const part = process.argv[6] ?? "";

let broken = 0;
let runs = 0;
for (const { name, isGood, ...options } of createFleetCases()) {
    if (!name.includes(part)) {
        continue;
    }
    const outcomes: string[] = [];
    for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
        const fleet = await new FleetReplay({ seed, nodes, requestsPerSecond, ...options }).run();
        const isBroken = isGood
            ? fleet.state !== "completed" || fleet.endedAt! > options.durationMilliseconds
            : fleet.exposed > fleet.allowed || fleet.late > 0;
        runs += 1;
        broken += isBroken ? 1 : 0;
        const steps = fleet.steps.map(({ at, share }) => `${(at / 1_000).toFixed(1)}:${share.toFixed(3)}`).join(" ");
        const halted = fleet.haltedAt === undefined ? "" : ` halted ${(fleet.haltedAt / 1_000).toFixed(1)}`;
        outcomes.push(
            `  ${isBroken ? "BROKEN " : ""}${seed}: ${fleet.state}${halted} ${fleet.exposed}/${
                fleet.allowed.toFixed(0)
            } late ${fleet.late} [${steps}] ${fleet.maxBytesPerSecond} B/s`,
        );
    }
    console.log(`${name}\n${outcomes.join("\n")}`);
}
console.log(`${broken} of ${runs} broken`);
