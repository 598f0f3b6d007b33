/**
 * The program behind `npm run soak`.
 */
import { parseArgs } from "node:util";
import { runSoak } from "./soak.js";

const usage = "Usage: npm run soak -- --seed N --minutes M [--prefix 127.A.B]";
const exitCodes = { broken: 1, badInput: 2 } as const;
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
        `Seed ${seed}: ${result.injected} faults injected, ${result.wholeAnswers} of ${result.chats} answers whole, `
            + `${result.prints} prints, ${result.faults.length} promises broken.`,
    );
    if (result.faults.length === 0) {
        return 0;
    }
    console.log([...result.faults, "Time line:", ...result.timeLine, `Seed ${seed}.`].join("\n"));
    return exitCodes.broken;
}

process.exit(await main());
