/**
 * The program behind `npm run soak`.
 */
import { parseArgs } from "node:util";
import { runSoak } from "./soak.js";

const usage = "Usage: npm run soak -- --seed N --minutes M [--prefix 127.A.B]";
const exitCodes = { violated: 1, badInput: 2 } as const;
const millisecondsPerMinute = 60_000;

async function main(): Promise<number> {
    const { values } = parseArgs({
        options: {
            seed: { type: "string", default: "1" },
            minutes: { type: "string", default: "1" },
            prefix: { type: "string", default: "127.62.9" },
        },
    });
    const seed = Number(values.seed);
    const minutes = Number(values.minutes);
    if (!Number.isSafeInteger(seed) || !(minutes > 0)) {
        console.error(usage);
        return exitCodes.badInput;
    }
    const result = await runSoak({ seed, milliseconds: minutes * millisecondsPerMinute, prefix: values.prefix });
    console.log(
        `Seed ${seed}: ${result.injectedFaults} faults injected, ${result.completeAnswers} of ${result.chats} answers complete, `
            + `${result.prints} prints, ${result.violations.length} invariants violated.`,
    );
    if (result.violations.length === 0) {
        return 0;
    }
    console.log([...result.violations, "Time line:", ...result.timeLine, `Seed ${seed}.`].join("\n"));
    return exitCodes.violated;
}

process.exit(await main());
