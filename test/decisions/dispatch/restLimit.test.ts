import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { RestLimit } from "../../../src/decisions/index.js";
import { createUpstream } from "../../fixtures/upstreams.js";

const restMilliseconds = 3_000;
const stepMilliseconds = 10;
/** Seeds next to each other give similar first numbers. */
const seedFactor = 2_654_435_761;
const maxSeed = 2 ** 31;

function createLimit(seed = 1) {
    const clock = new ManualClock(1_000);
    let restEndsAt: number | undefined = undefined;
    const limit = new RestLimit({ clock, random: new RandomSource(seed), getRestEnd: () => restEndsAt });
    const upstream = createUpstream("u1");
    const rest = (milliseconds: number): void => {
        restEndsAt = clock.monotonic() + milliseconds;
        limit.isAdmitted(upstream);
    };
    /** Sends all requests that are admitted, one in each step, and returns the times since the beginning. */
    const sendFor = (milliseconds: number): readonly number[] => {
        const sent: number[] = [];
        for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
            if (limit.isAdmitted(upstream)) {
                limit.add(upstream);
                sent.push(elapsed);
            }
            clock.advance(stepMilliseconds);
        }
        return sent;
    };
    return { clock, limit, upstream, rest, sendFor };
}

describe("RestLimit", () => {
    it("admits requests to upstreams that have asked for no rest", () => {
        const { limit, upstream, sendFor } = createLimit();
        expect([sendFor(1_000).length, limit.getWait(upstream)]).toEqual([100, 0]);
    });

    it("admits none until the rest is over, and then more and more", () => {
        const { limit, upstream, rest, sendFor } = createLimit();
        rest(restMilliseconds);
        expect(limit.getWait(upstream)).toBeGreaterThanOrEqual(restMilliseconds);
        const sent = sendFor(8_000);
        expect(sent[0]).toBeGreaterThanOrEqual(restMilliseconds);
        expect(sent[0]).toBeLessThan(restMilliseconds * 1.25 + stepMilliseconds);
        const countUntil = (milliseconds: number): number => sent.filter(at => at < sent[0] + milliseconds).length;
        expect([countUntil(240), countUntil(490), countUntil(740)]).toEqual([1, 2, 4]);
        expect(sendFor(1_000).length).toEqual(100);
    });

    it("begins again when the upstream asks for rest once more as its requests return", () => {
        const { rest, sendFor } = createLimit();
        rest(restMilliseconds);
        sendFor(restMilliseconds * 1.25 + 300);
        rest(1_000);
        expect(sendFor(900)).toEqual([]);
        expect(sendFor(600).length).toBeGreaterThan(0);
    });

    // Guards against nodes that all return at one moment to an upstream that has asked all of them for rest.
    it("spreads the return of 8 and of 350 nodes", () => {
        for (const nodes of [8, 350]) {
            const counts = new Map<number, number>();
            for (let node = 0; node < nodes; node += 1) {
                const { rest, sendFor } = createLimit((node + 1) * seedFactor % maxSeed);
                rest(restMilliseconds);
                const tenth = Math.floor(sendFor(2 * restMilliseconds)[0] / 100);
                counts.set(tenth, (counts.get(tenth) ?? 0) + 1);
            }
            expect(Math.max(...counts.values())).toBeLessThanOrEqual(Math.max(4, 0.25 * nodes));
        }
    });

    it("keeps a rest of a day, and forgets nothing of it when the upstream is removed and comes back", () => {
        const { clock, limit, upstream, rest, sendFor } = createLimit();
        rest(86_400_000);
        clock.advance(86_000_000);
        limit.remove(upstream.id);
        expect(sendFor(1_000)).toEqual([]);
    });
});
