import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import { PlatformSite, type SiteAnswer } from "./platformSite.js";
import { nodeHeader, sentAtHeader, StatingRunner } from "./standins/statingRunner.js";

const nodeCount = 3;
const runnerCount = 4;
const requestMilliseconds = 12;
const paths = ["/call/1", "/booking/1", "/stream/1"];
/** The users' bounds: a request that was sent this much later must not arrive, and two may arrive after the slack. */
const drainMilliseconds = 2_000;
const restSlackMilliseconds = 500;
const maxWhileResting = 2;
const restSeconds = 3;
/** A second of it has to be left after requests of a second and a half, on a busy machine too. */
const longRestSeconds = 4;
/** Requests of a node overlap in this time, so that each upstream gets a part: of idle ones, it takes those that seem a little faster. */
const answerMilliseconds = 200;
/** Time within which a request is refused that can certainly not be served. */
const maxRefusalMilliseconds = 300;

// Upstreams say with their answers that they leave, or ask for rest as they reject requests, and the registry does not show it.
describe("an upstream that wants no requests", () => {
    const site = new PlatformSite("127.72.53");
    const runners: StatingRunner[] = [];
    after(() => site.stop());
    before(async () => {
        await site.start(0);
        for (let index = 1; index <= runnerCount; index += 1) {
            runners.push(new StatingRunner(await site.addRunner(`i-${index}`)));
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, nodeCount);
        }
    });
    afterEach(() => {
        site.store.fault = "well";
        setAnswerMilliseconds(0);
    });

    function setAnswerMilliseconds(milliseconds: number): void {
        for (const runner of runners) {
            runner.answerMilliseconds = milliseconds;
        }
    }

    /** Sends requests of all kinds to all nodes in turn for a while. */
    async function sendFor(milliseconds: number): Promise<readonly TimedAnswer[]> {
        const pending: Promise<TimedAnswer>[] = [];
        const endsAt = performance.now() + milliseconds;
        while (performance.now() < endsAt) {
            const node = site.nodes[Math.floor(pending.length / paths.length) % nodeCount];
            const headers = { [nodeHeader]: node.address, [sentAtHeader]: String(performance.now()) };
            const path = paths[pending.length % paths.length];
            pending.push(measure(() => site.send(node, { path, headers })));
            await new Promise(resolve => setTimeout(resolve, requestMilliseconds));
        }
        return Promise.all(pending);
    }

    // Guards against nodes that go on sending requests to an upstream that rejects them and has asked for rest.
    it("gets none from a node that it has asked for rest, and the others serve them", async () => {
        setAnswerMilliseconds(answerMilliseconds);
        runners[1].restSeconds = restSeconds;
        // No rest ends before the last request is sent, so no node is asked for a second one.
        const answers = await sendFor(restSeconds * 1_000);
        runners[1].restSeconds = undefined;
        expect(runners[1].getNodes().size).toEqual(nodeCount);
        expect(runners[1].getMostWhileResting(restSlackMilliseconds)).toBeLessThanOrEqual(maxWhileResting);
        // A booking may be tried once only: the one with which a node is told is refused.
        const refused = answers.filter(({ status }) => status !== 200);
        expect(refused.every(({ status }) => status === 503)).toEqual(true);
        expect(refused.length).toBeLessThanOrEqual(nodeCount);
    });

    // Guards against an upstream that nobody uses any more, or that all nodes rush to at the end of its rest.
    it("gets requests again after its rest, at first a few", async () => {
        setAnswerMilliseconds(answerMilliseconds);
        await sendFor(restSeconds * 1_000);
        const before = runners[1].arrivals.length;
        const answers = await sendFor(1_000);
        expect(runners[1].getMostWhileResting(restSlackMilliseconds)).toBeLessThanOrEqual(maxWhileResting);
        expect(answers.filter(({ status }) => status !== 200).length).toEqual(0);
        expect(runners[1].arrivals.length - before).toBeGreaterThan(5);
    });

    // Guards against callers that wait for upstreams that all rest, and come back before one of them takes requests again.
    it("makes nodes refuse at once when all others rest as well, with the time after which to come back", async () => {
        for (const runner of runners) {
            runner.restSeconds = longRestSeconds;
        }
        await sendFor(restSlackMilliseconds);
        const answers = await sendFor(1_000);
        for (const runner of runners) {
            runner.restSeconds = undefined;
        }
        await sendFor(2 * longRestSeconds * 1_000);
        const laterAnswers = await sendFor(500);
        for (const runner of runners) {
            expect(runner.getMostWhileResting(restSlackMilliseconds)).toBeLessThanOrEqual(maxWhileResting);
        }
        expect(answers.every(({ status }) => status === 503)).toEqual(true);
        // The callers' deadline is 3 s, and they wait for a third of it at most.
        expect(answers.every(({ headers }) => Number(headers["retry-after"]) > 0.9)).toEqual(true);
        expect(Math.max(...answers.map(({ milliseconds }) => milliseconds))).toBeLessThan(maxRefusalMilliseconds);
        expect(laterAnswers.every(({ status }) => status === 200)).toEqual(true);
    });

    // Guards against nodes that learn only from the store that an upstream leaves, although its answers have said so.
    it("gets none from a node that it has told that it leaves, while the store is away", async () => {
        site.store.fault = "silent";
        runners[0].isLeaving = true;
        const answers = await sendFor(drainMilliseconds + 2_500);
        expect(runners[0].getNodes().size).toEqual(nodeCount);
        expect(runners[0].getAfterLeaving(drainMilliseconds).length).toEqual(0);
        expect(answers.filter(({ status }) => status !== 200).length).toEqual(0);
    });

    // Guards against callers that wait when every upstream has said that it leaves, and against a node that still uses one of them.
    it("makes nodes refuse at once when all others leave as well", async () => {
        for (const runner of runners) {
            runner.isLeaving = true;
        }
        await sendFor(restSlackMilliseconds);
        const before = runners.map(({ arrivals }) => arrivals.length);
        const answers = await sendFor(500);
        expect(answers.every(({ status, headers }) => status === 503 && headers["retry-after"] !== undefined))
            .toEqual(true);
        expect(Math.max(...answers.map(({ milliseconds }) => milliseconds))).toBeLessThan(maxRefusalMilliseconds);
        expect(runners.map(({ arrivals }) => arrivals.length)).toEqual(before);
    });
});

/** An answer and the time that it took. */
interface TimedAnswer extends SiteAnswer {
    readonly milliseconds: number;
}

async function measure(send: () => Promise<SiteAnswer>): Promise<TimedAnswer> {
    const startedAt = performance.now();
    const answer = await send();
    return { ...answer, milliseconds: performance.now() - startedAt };
}
