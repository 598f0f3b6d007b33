import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CrashingFleet } from "./crashingFleet.js";
import { PlatformSite, type SiteNode } from "./platformSite.js";

const nodeCount = 2;
const runnerCount = 8;
const returns = 16;
const returnMilliseconds = 300;
/** Sound lookups between two returns of the crashing one. */
const soundLookups = 4;
/** Runners that the lookup may crash, and retries that are permitted after that. */
const maxCrashes = 3;
const maxLateRetries = 3;

/** Queries of a lookup that crashes its runners, by the number of its return. */
const crashingQueries: Readonly<Record<string, (index: number) => string>> = {
    "always the same query": () => "order=crashing",
    "a query of which a part differs each time, in another order and encoding": index =>
        index % 2 === 0 ? `order=crashing&ref=${index}` : `ref=${index}&order=%63rashing`,
};

// A lookup crashes each runner that begins to run it. Sound lookups of the same caller share its path and differ in the query.
for (const [index, [name, createQuery]] of Object.entries(crashingQueries).entries()) {
    describe(`a lookup that crashes its runners, with ${name}`, () => {
        const site = new PlatformSite(`127.72.${135 + index}`);
        const fleet = new CrashingFleet(site, ({ target }) => /order=(%63|c)rashing/.test(target));
        before(() => fleet.start(runnerCount, nodeCount));
        after(() => site.stop());

        async function look(node: SiteNode, query: string): Promise<number | undefined> {
            const answer = await site.send(node, { method: "GET", path: `/call/orders?${query}` }).catch(() =>
                undefined
            );
            return answer?.status;
        }

        // Guards against a lookup that is sent on for as long as its caller comes back, since each sound one clears it.
        it("is stopped, and the sound ones go on", async () => {
            let sound = 0;
            const statuses: (number | undefined)[] = [];
            for (let turn = 0; turn < returns; turn += 1) {
                const node = site.nodes[turn % nodeCount];
                const crashing = look(node, createQuery(turn));
                for (let count = 0; count < soundLookups; count += 1) {
                    sound += 1;
                    statuses.push(await look(node, `order=${sound}`));
                }
                await crashing;
                await sleep(returnMilliseconds);
            }
            expect(fleet.crashed.length >= maxCrashes).toEqual(true);
            expect(fleet.crashed.length <= maxCrashes + maxLateRetries).toEqual(true);
            const late = statuses.slice(statuses.length / 2);
            expect(late.filter(status => status !== 200)).toEqual([]);
        });
    });
}
