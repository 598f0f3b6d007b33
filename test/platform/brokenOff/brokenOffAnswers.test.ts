import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { SiteNode } from "../platformSite.js";
import type { ReadingPace } from "../standins/framedCaller.js";
import type { FramedAnswer } from "../standins/framedRunner.js";
import { createCases } from "./framedCases.js";
import { type FramedRoute, FramedSite } from "./framedSite.js";
import { cutOff, runCases } from "./runCases.js";

const frozenMilliseconds = 400;
const paces: readonly ReadingPace[] = ["quick", "paused", "slow"];

/** Chooses cases by their first answer, which is the only one where the stream may not be resumed. */
type CaseFilter = (first: FramedAnswer, isResumable: boolean, rest: FramedAnswer | undefined) => boolean;

/** Sends the cases that a filter admits, and returns those that did not get what they may, one line each. */
async function findWrong(
    site: FramedSite,
    node: SiteNode,
    filter: CaseFilter,
    { pacesUsed = ["quick", "paused"], routes = ["stream", "single"] }: {
        readonly pacesUsed?: readonly ReadingPace[];
        readonly routes?: readonly FramedRoute[];
    } = {},
): Promise<readonly string[]> {
    const wrong: string[] = [];
    for (const pace of paces.filter(one => pacesUsed.includes(one))) {
        const cases = createCases(pace).flatMap(one => routes.map(route => ({ one, route })))
            .filter(({ one: { answers }, route }) =>
                (route === "stream" || answers.length === 1) && filter(answers[0], route === "stream", answers.at(1))
            );
        wrong.push(...(await runCases(site, node, cases)).wrong);
    }
    return wrong;
}

/** Stops a node's process until the runner has written its answer and ended its connection. */
async function freeze({ child }: SiteNode): Promise<void> {
    child.kill("SIGSTOP");
    await sleep(frozenMilliseconds);
    child.kill("SIGCONT");
}

// Runners break off their answers in each framing, in order and by a reset, before callers that read at once, late or slowly.
describe("answers that are broken off", () => {
    const site = new FramedSite("127.72.120");
    let node: SiteNode;
    before(async () => {
        await site.start(1);
        node = site.site.nodes[0];
    });
    after(() => site.stop());

    // Guards against a stream that is cut, or asked for again, although its runner has ended it and lives.
    it("ends a stream whose runner framed nothing and ended in order", async () => {
        const isUnstated = ({ framing, broken, end }: FramedAnswer): boolean =>
            framing === "none" && end === "order" && broken?.at === "between";
        expect(await findWrong(site, node, isUnstated)).toEqual([]);
    });

    // Guards against a framing that is taken for a whole answer although its last event is cut.
    it("takes a stream for broken off whose last chunk comes inside an event", async () => {
        expect(await findWrong(site, node, ({ broken }) => broken?.at === "last-chunk")).toEqual([]);
    });

    // Guards against a reset that reads as an orderly end, since the bytes before it waited for a slow caller.
    it("notices a reset behind bytes that wait unread", async () => {
        const isResetBetween: CaseFilter = ({ framing, broken, end }, _, rest) =>
            framing === "none" && end === "reset" && broken?.at === "between" && rest === undefined;
        expect(await findWrong(site, node, isResetBetween, { pacesUsed: ["slow"] })).toEqual([]);
    });

    // Guards against a sound answer that is cut since its caller's system tells late that the caller has read on.
    it("cuts no answer of a caller that reads slowly and steadily", async () => {
        const isWhole: CaseFilter = ({ broken }) => broken === undefined;
        expect(await findWrong(site, node, isWhole, { pacesUsed: ["slow"] })).toEqual([]);
    });

    // Guards against a reset that reads as an orderly end, or a sound answer that is cut, since the node stood still as its end came.
    it("notices a reset that came while the node was frozen", async () => {
        for (const route of ["stream", "single", "booking"] as const) {
            for (const end of ["reset", "order"] as const) {
                const broken = end === "reset" ? { broken: { afterEvent: 6, at: "between" as const } } : {};
                const { seen, verdict } = await site.send({
                    node,
                    route,
                    eventBytes: 10_000,
                    answers: [{ framing: "none", end, delayMilliseconds: 50, ...broken }, { framing: "chunks" }],
                    onArrival: () => freeze(node),
                });
                expect(`${route}, ${end}, ${seen.end}: ${verdict}`).toEqual(`${route}, ${end}, ${seen.end}: right`);
            }
        }
    });

    // Guards against half a confirmation that passes for a whole one, and against a whole one that is lost.
    it("passes calls and bookings on as their runners ended them", async () => {
        const wrong = await findWrong(site, node, () => true, { pacesUsed: ["quick"], routes: ["call", "booking"] });
        expect(wrong).toEqual([]);
    });

    // Guards against a caller that reads an orderly end where its node has reset the connection.
    it("shows a caller with unread bytes that its answer was broken off", async () => {
        const isNoticed: CaseFilter = ({ framing, broken, end }, isResumable) =>
            !isResumable && framing === "none" && broken !== undefined && (end === "reset" || broken.at === "inside");
        expect(await findWrong(site, node, isNoticed, { pacesUsed: ["paused"] })).toEqual([]);
    });
});

// The node of the caller reaches no runner, so that another node relays each answer.
describe("answers that another node relays", () => {
    const site = new FramedSite("127.72.121");
    let node: SiteNode;
    before(async () => {
        await site.start(2);
        node = site.site.nodes[0];
        await cutOff(site, node);
    });
    after(() => site.stop());

    // Guards against a whole answer that is broken off since the node of its caller cannot connect to the runner.
    it("are not cut where they are sound", async () => {
        const isSound: CaseFilter = (first, isResumable, rest) =>
            isResumable && (rest ?? first).framing === "none" && (rest ?? first).broken === undefined;
        expect(await findWrong(site, node, isSound)).toEqual([]);
    });
});
