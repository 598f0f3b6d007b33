import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import type { SiteNode } from "../platformSite.js";
import type { FramedHead } from "../standins/framedRunner.js";
import { createPartCases, streamHeads } from "./framedCases.js";
import { type FramedRoute, FramedSite } from "./framedSite.js";
import { cutOff, type RoutedCase, runCases } from "./runCases.js";

/** As many as there are runners, and one more. */
const maxAttempts = 4;
const pausedHeads: readonly FramedHead[] = ["typed", "untyped"];

interface TableOptions {
    readonly part: 1 | 2 | 3;
    readonly pace?: "quick" | "paused";
    readonly heads?: readonly FramedHead[];
    readonly hasRest: boolean;
    readonly routes?: readonly FramedRoute[];
}

function createTableCases(
    { part, pace = "quick", heads = streamHeads, hasRest, routes = ["stream"] }: TableOptions,
): RoutedCase[] {
    const cases = createPartCases(part, { pace, heads, hasRest });
    return cases.flatMap(one => routes.map((route): RoutedCase => ({ one, route })));
}

/** Sends all cases of a table and expects that none of them is wrong. */
async function expectNoneWrong(site: FramedSite, node: SiteNode, options: TableOptions): Promise<void> {
    const { wrong } = await runCases(site, node, createTableCases(options));
    expect(wrong).toEqual([]);
}

// Each framing and head ends in each way, at each place, in each part of an answer.
for (const way of ["direct", "relayed"] as const) {
    describe(`the table of ends, ${way}`, () => {
        const site = new FramedSite(way === "direct" ? "127.72.122" : "127.72.123", maxAttempts);
        let node: SiteNode;
        before(async () => {
            await site.start(way === "direct" ? 1 : 2);
            node = site.site.nodes[0];
            if (way === "relayed") {
                await cutOff(site, node);
            }
        });
        after(() => site.stop());

        // Guards against an end that is judged by what its answer is taken for at one place and not at another.
        it("passes a single part on as its runner ended it", async () => {
            await expectNoneWrong(site, node, { part: 1, hasRest: false, routes: ["stream", "single"] });
        });

        it("resumes a first part that is broken off, and no other", async () => {
            await expectNoneWrong(site, node, { part: 1, hasRest: true });
        });

        // Guards against an end of a later part that is judged without the framing that its caller has seen.
        it("ends the second part as far as it is known", async () => {
            await expectNoneWrong(site, node, { part: 2, hasRest: true });
        });

        it("ends the third part, after which no other runner is left, as far as it is known", async () => {
            await expectNoneWrong(site, node, { part: 3, hasRest: true });
        });

        it("ends the last part of which nobody has the rest as far as it is known", async () => {
            await expectNoneWrong(site, node, { part: 3, hasRest: false });
        });

        // Guards against an end that a caller with unread bytes reads as another one.
        it("shows each end to callers that read late", async () => {
            const options = { pace: "paused", heads: pausedHeads } as const;
            await expectNoneWrong(site, node, { ...options, part: 1, hasRest: false, routes: ["stream", "single"] });
            await expectNoneWrong(site, node, { ...options, part: 2, hasRest: true });
        });

        // Guards against half a confirmation, or half a stream on a call's route, that passes for a whole one.
        it("passes calls and bookings on as their runners ended them", async () => {
            const heads: readonly FramedHead[] = ["json", "typed", "created"];
            await expectNoneWrong(site, node, { part: 1, heads, hasRest: false, routes: ["call", "booking"] });
            await expectNoneWrong(site, node, { part: 1, heads, hasRest: true, routes: ["call"] });
        });
    });
}
