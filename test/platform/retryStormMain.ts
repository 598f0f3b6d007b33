/**
 * Runs storms of failing requests on real nodes, one after the other, and prints the worst window of each.
 * Arguments: a part of the names to run, and how often; by default all of them once.
 */
import { PlatformSite } from "./platformSite.js";
import { RetryStorm } from "./retryStorm.js";
import { type StormCase, stormCases } from "./retryStormCases.js";

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

const [part = "", times = "1"] = process.argv.slice(2);
let failed = 0;
let count = 0;
for (let round = 0; round < Number(times); round += 1) {
    for (const stormCase of stormCases.filter(({ name }) => name.includes(part))) {
        failed += await runCase(stormCase, `127.74.${firstBlock + count % firstBlock}`) ? 0 : 1;
        count += 1;
    }
}
console.log(`${failed} of ${count} storms broke the budget`);
process.exitCode = failed === 0 ? 0 : 1;
