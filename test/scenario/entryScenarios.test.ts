import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { EntrySite, runScenario } from "../../src/scenario/index.js";
import { metroManila, type SiteDescription, withProcesses } from "../../src/testbench/index.js";

const folder = new URL("../../../test/scenarios/", import.meta.url);
/** This scenario starts its own stand-ins and is tested in runScenario.test.ts. */
const standinsOnlyFile = "standins.scenario";

const description: SiteDescription = {
    ...metroManila,
    prefix: "127.10.9",
    entryCount: 3,
    runners: { name: "lm-pool", count: 2, settings: { stepMilliseconds: 5 } },
    services: { name: "label-app", count: 2 },
};

// Each scenario file describes at its top the failure that it guards against.
describe("scenarios with entries", () => {
    for (const file of readdirSync(folder)) {
        if (file === standinsOnlyFile) {
            continue;
        }
        it(file, async () => {
            await withProcesses(async group => {
                const site = await EntrySite.start(group, description);
                const result = await runScenario(readFileSync(new URL(file, folder), "utf8"), site);
                expect(result.match(() => "succeeded", failure => failure.message)).toEqual("succeeded");
            });
        });
    }
});
