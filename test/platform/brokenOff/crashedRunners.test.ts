import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { SiteNode } from "../platformSite.js";
import type { FramedAnswer } from "../standins/framedRunner.js";
import { FramedSite } from "./framedSite.js";

const downMilliseconds = 300;
/** Time until all runners accept connections again. */
const upMilliseconds = 2 * downMilliseconds;

/** A part without a framing that ends in order after an event, as its runner crashes. */
function crashAfter(afterEvent: number): FramedAnswer {
    return { framing: "none", downMilliseconds, broken: { afterEvent, at: "between" } };
}

const brokenOff: FramedAnswer = { framing: "chunks", end: "reset", broken: { afterEvent: 3, at: "between" } };
const rest: FramedAnswer = { framing: "chunks" };

// Runners crash amid answers without a framing. The connections of a killed process are closed in order.
describe("streams whose runners crash between two events", () => {
    const site = new FramedSite("127.72.130", 4);
    let node: SiteNode;
    before(async () => {
        await site.start(1);
        node = site.site.nodes[0];
    });
    after(() => site.stop());

    async function send(answers: readonly FramedAnswer[]): Promise<string> {
        const { seen, verdict } = await site.send({ node, route: "stream", answers });
        await sleep(upMilliseconds);
        return `${verdict}: ${seen.events.length} events, ${seen.end}`;
    }

    // Guards against half a stream with the last chunk, since the empty part of a crashed runner confirms the one before.
    it("are broken off if the runner that is asked for the rest crashes before its first event", async () => {
        expect(await send([brokenOff, crashAfter(6), crashAfter(6)])).toEqual("right: 6 events, broken");
        expect(await send([brokenOff, crashAfter(3), crashAfter(3)])).toEqual("right: 3 events, broken");
    });

    it("are completed by a runner that has the rest", async () => {
        expect(await send([crashAfter(6), rest])).toEqual("right: 12 events, whole");
        expect(await send([crashAfter(0), rest])).toEqual("right: 12 events, whole");
        expect(await send([brokenOff, crashAfter(6), rest])).toEqual("right: 12 events, whole");
        expect(await send([brokenOff, crashAfter(3), { framing: "none" }])).toEqual("right: 12 events, whole");
    });
});
