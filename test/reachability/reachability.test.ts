import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../src/common/index.js";
import { Reachability } from "../../src/reachability/index.js";
import { createJournal } from "../fixtures/journals.js";

const pools = ["first", "second"];

/** Creates the reachability of two pools whose upstreams accept connections unless their address is in `closed`. */
function createReachability(upstreamCount: number) {
    const clock = new ManualClock();
    const { journal, lines } = createJournal();
    const closed = new Set<string>();
    const probed: string[] = [];
    const getUpstreams = (pool: string) =>
        Array.from(
            { length: upstreamCount },
            (...[, index]) => ({ id: `${pool}-${index}`, address: `${pool}:${index}` }),
        );
    const reachability = new Reachability({
        clock,
        random: new RandomSource(1),
        journal,
        getPools: () => pools,
        getUpstreams,
        probe: address => {
            probed.push(address);
            return Promise.resolve(!closed.has(address));
        },
    });
    const close = (pool: string): void => {
        for (const { address } of getUpstreams(pool)) {
            closed.add(address);
        }
    };
    const settle = () => new Promise(resolve => setImmediate(resolve));
    return { reachability, clock, lines, closed, probed, close, settle };
}

describe("the reachability of pools", () => {
    // Guards against a node that takes the failure of one upstream for a loss of its own paths, and sends its callers elsewhere.
    it("is kept while one upstream accepts connections", async () => {
        const { reachability, closed, settle } = createReachability(3);
        closed.add("first:0").add("first:2");
        reachability.addConnectFailure("first");
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(false);
    });

    // Guards against nodes that all take a crash of many upstreams for a loss of their own paths, and forward requests to each other.
    it("is kept while half of a large pool refuses connections", async () => {
        const { reachability, clock, closed, settle } = createReachability(64);
        for (let index = 0; index < 64; index += 2) {
            closed.add(`first:${index}`);
        }
        let lost = 0;
        for (let round = 0; round < 500; round += 1) {
            reachability.addConnectFailure("first");
            await settle();
            lost += reachability.isUnreachable("first") ? 1 : 0;
            clock.advance(250);
            reachability.tick();
            await settle();
        }
        expect(lost).toEqual(0);
    });

    it("is lost when connections to several upstreams fail, and then all pools are checked", async () => {
        const { reachability, lines, close, settle } = createReachability(5);
        close("first");
        close("second");
        reachability.addConnectFailure("first");
        await settle();
        expect(reachability.getUnreachable()).toEqual(pools);
        expect(reachability.isCutOff()).toEqual(true);
        expect(lines.map(({ name, pool }) => [name, pool])).toEqual(pools.map(pool => ["pool-unreachable", pool]));
    });

    it("is judged for each pool by itself", async () => {
        const { reachability, close, settle } = createReachability(5);
        close("first");
        reachability.addConnectFailure("first");
        await settle();
        expect(reachability.getUnreachable()).toEqual(["first"]);
        expect(reachability.isCutOff()).toEqual(false);
    });

    // Guards against a node whose open connections hang: no connection fails, and its calls wait until their deadlines.
    it("is checked when calls wait and nothing is received", async () => {
        const { reachability, clock, close, settle } = createReachability(5);
        close("first");
        clock.advance(5_000);
        const end = reachability.startCall("first");
        clock.advance(900);
        reachability.markSeen("second");
        reachability.tick();
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(false);
        clock.advance(200);
        reachability.markSeen("second");
        reachability.tick();
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(true);
        end();
    });

    // Guards against a node without callers that learns of its cut only from the first ones.
    it("is checked when nothing at all is received", async () => {
        const { reachability, clock, close, settle } = createReachability(5);
        close("first");
        close("second");
        reachability.tick();
        clock.advance(1_100);
        reachability.tick();
        await settle();
        expect(reachability.getUnreachable().toSorted()).toEqual(pools);
    });

    // Guards against a fleet that floods its upstreams with probes while callers are served.
    it("costs no probe while answers arrive", () => {
        const { reachability, clock, probed } = createReachability(5);
        for (let round = 0; round < 20; round += 1) {
            clock.advance(250);
            const end = reachability.startCall("first");
            reachability.markSeen("first");
            reachability.tick();
            end();
        }
        expect(probed).toEqual([]);
    });

    it("costs an idle node one check a second", async () => {
        const { reachability, clock, probed, settle } = createReachability(5);
        reachability.tick();
        for (let round = 0; round < 40; round += 1) {
            clock.advance(250);
            reachability.tick();
            await settle();
        }
        expect(probed.length).toBeLessThanOrEqual(30);
    });

    // Guards against a node that goes back and forth when a lossy path lets single connections through.
    it("returns when two connections in a row are accepted", async () => {
        const { reachability, clock, closed, close, settle } = createReachability(3);
        close("first");
        reachability.addConnectFailure("first");
        await settle();
        closed.delete("first:1");
        clock.advance(250);
        reachability.tick();
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(true);
        closed.add("first:1");
        reachability.tick();
        await settle();
        closed.delete("first:2");
        reachability.tick();
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(true);
        reachability.tick();
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(false);
    });

    it("of a pool with a single upstream depends on that one", async () => {
        const { reachability, closed, close, settle } = createReachability(1);
        close("first");
        reachability.addConnectFailure("first");
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(true);
        closed.clear();
        reachability.tick();
        await settle();
        reachability.tick();
        await settle();
        expect(reachability.isUnreachable("first")).toEqual(false);
    });
});
