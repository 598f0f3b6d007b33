/**
 * Runs storms of failing requests on real nodes, one after the other, and prints the worst window of each.
 * Without arguments, runs all of the table. `drawn FIRST COUNT` runs storms that are drawn from as many seeds,
 * `mixed FIRST COUNT` those in which also the runners, the load and the callers change. `moving` runs those in which callers move between
 * halves of the nodes. A fourth argument is the block of addresses.
 */
import { PlatformSite } from "./platformSite.js";
import { RetryStorm } from "./retryStorm.js";
import {
    createDrawnCase,
    createMixedCase,
    createMovingCase,
    movingCases,
    type StormCase,
    stormCases,
} from "./retryStormCases.js";
import { siteWithModels } from "./stormSite.js";

const stormMilliseconds = 24_000;
const firstBlock = 100;

async function runCase({ name, ...options }: StormCase, prefix: string): Promise<boolean> {
    const hasModels = options.kinds?.includes("prompt") === true;
    const site = new PlatformSite(prefix, hasModels ? siteWithModels.bounds : {});
    try {
        const storm = new RetryStorm(site, hasModels ? siteWithModels : {});
        await storm.start();
        const result = await storm.run({ ...options, milliseconds: stormMilliseconds });
        const { worst, broken, arrived, repeats, scattered, overlong, late, byNode } = result;
        console.log(
            `${name}, ${options.way}, ${options.requestsPerSecond}/s: ${worst.repeats} of ${worst.allowed} from ${worst.from} ms, `
                + `${broken.length} windows broken; ${arrived} requests and ${repeats} repeats arrived; `
                + `${scattered.length} at too many runners, ${overlong} of ${late} late ones with too much time`,
        );
        if (broken.length > 0) {
            console.table(byNode);
        }
        return broken.length === 0;
    }
    finally {
        await site.stop();
    }
}

function getCases(): readonly StormCase[] {
    if (mode === "moving") {
        return movingCases.map(createMovingCase);
    }
    const create = mode === "mixed" ? createMixedCase : createDrawnCase;
    return mode === undefined
        ? stormCases
        : Array.from({ length: Number(count) }, (...[, index]) => create(Number(first) + index));
}

const [mode, first, count, block = "74"] = process.argv.slice(2);
let failed = 0;
const cases = getCases();
for (const [index, stormCase] of cases.entries()) {
    failed += await runCase(stormCase, `127.${block}.${firstBlock + index % firstBlock}`) ? 0 : 1;
}
console.log(`${failed} of ${cases.length} storms broke the budget`);
process.exitCode = failed === 0 ? 0 : 1;
