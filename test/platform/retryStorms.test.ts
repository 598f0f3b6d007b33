import { expect } from "earl";
import { after, describe, it } from "node:test";
import { PlatformSite } from "./platformSite.js";
import { RetryStorm } from "./retryStorm.js";
import { createDrawnCase, createMovingCase, getCaseOrThrow, movingCases, type StormCase } from "./retryStormCases.js";
import type { StormResult } from "./stormResult.js";
import { siteWithModels } from "./stormSite.js";

const stormMilliseconds = 24_000;

/** Runs a storm at a site of its own. */
async function runStorm(prefix: string, { name, ...options }: StormCase): Promise<StormResult> {
    const hasModels = options.kinds?.includes("prompt") === true;
    const site = new PlatformSite(prefix, hasModels ? siteWithModels.bounds : {});
    after(() => site.stop());
    const storm = new RetryStorm(site, hasModels ? siteWithModels : {});
    await storm.start();
    const result = await storm.run({ ...options, milliseconds: stormMilliseconds });
    console.log(`${name}: worst window ${JSON.stringify(result.worst)}, ${result.broken.length} broken`);
    return result;
}

// All runners fail every request while nodes end or pause; more repeats than all nodes together may send would overload the runners.
describe("the retry budget of all nodes", () => {
    it("holds while all nodes are killed again and again", async () => {
        const { broken } = await runStorm("127.73.90", getCaseOrThrow("all killed again and again", "reset", 8));
        expect(broken).toEqual([]);
    });

    it("holds while each half of the nodes is killed in turn", async () => {
        const { broken } = await runStorm("127.73.91", getCaseOrThrow("halves killed in turn", "reset", 8));
        expect(broken).toEqual([]);
    });

    it("holds while paused nodes read the requests of seconds at once", async () => {
        const { broken } = await runStorm("127.73.92", getCaseOrThrow("all paused", "reset", 20));
        expect(broken).toEqual([]);
    });

    it("still sends failed requests again while nothing is done to the nodes", async () => {
        const { broken, repeats, arrived } = await runStorm("127.73.93", getCaseOrThrow("left alone", "reset", 8));
        expect({ broken, isRepeated: repeats > arrived / 2 }).toEqual({ broken: [], isRepeated: true });
    });

    it("holds while callers move from some nodes to the others and their streams last before they break", async () => {
        const { broken, byNode } = await runStorm("127.73.88", createMovingCase(movingCases[0]));
        expect([broken, byNode.length]).toEqual([[], 6]);
    });

    it("holds while anything of that happens in a drawn order", async () => {
        const { broken } = await runStorm("127.73.89", createDrawnCase(17));
        expect(broken).toEqual([]);
    });
});
