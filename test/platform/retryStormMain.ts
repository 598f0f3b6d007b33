/**
 * Runs storms of failing requests on real nodes, one after the other, and prints the worst window of each.
 * Without arguments, runs all of the table. `drawn FIRST COUNT` runs storms that are drawn from as many seeds.
 */
import { PlatformSite } from "./platformSite.js";
import { RetryStorm } from "./retryStorm.js";
import { createDrawnCase, type StormCase, stormCases } from "./retryStormCases.js";

const stormMilliseconds = 24_000;
const firstBlock = 100;

async function runCase({ name, ...options }: StormCase, prefix: string): Promise<boolean> {
    const site = new PlatformSite(prefix);
    try {
        const storm = new RetryStorm(site);
        await storm.start();
        const { worst, broken, arrived, repeats } = await storm.run({ ...options, milliseconds: stormMilliseconds });
        console.log(
            `${name}, ${options.way}, ${options.requestsPerSecond}/s: ${worst.repeats} of ${worst.allowed} from ${worst.from} ms, `
                + `${broken.length} windows broken; ${arrived} requests and ${repeats} repeats arrived`,
        );
        return broken.length === 0;
    }
    finally {
        await site.stop();
    }
}

function getCases(): readonly StormCase[] {
    const [mode, first, count] = process.argv.slice(2);
    return mode === "drawn"
        ? Array.from({ length: Number(count) }, (...[, index]) => createDrawnCase(Number(first) + index))
        : stormCases;
}

let failed = 0;
const cases = getCases();
for (const [index, stormCase] of cases.entries()) {
    failed += await runCase(stormCase, `127.74.${firstBlock + index % firstBlock}`) ? 0 : 1;
}
console.log(`${failed} of ${cases.length} storms broke the budget`);
process.exitCode = failed === 0 ? 0 : 1;
