import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { Evidence } from "../../src/decisions/index.js";
import { SharedState } from "../../src/entry/sharedState.js";
import type { GossipListener } from "../../src/membership/index.js";

const version = "plan@1";
const requestClass = "plan";
const hour = 3_600_000;

interface Setup {
    readonly clock: ManualClock;
    readonly evidence: Evidence;
    readonly shared: SharedState;
    /** Says which run of `entry-2` gossip knows; none once gossip has forgotten it. */
    readonly setRun: (incarnation: string | undefined) => void;
    /** Takes in what a run of `entry-2` counted. */
    readonly takeRating: () => void;
}

function createSetup(): Setup {
    const clock = new ManualClock(1_000 * hour);
    const evidence = new Evidence({ clock });
    let currentIncarnation: string | undefined = "1";
    let listener: GossipListener = () => {};
    const shared = new SharedState({
        gossip: { get: () => undefined, set: () => {}, onUpdate: given => listener = given },
        evidence,
        exposures: { exportOwn: () => ({ sequence: -1 }) as never, merge: () => {} },
        rollouts: { addHalt: () => true },
        runners: { markLeaving: () => {} },
        getIncarnation: () => currentIncarnation,
        getConfigurationAge: () => 0,
    });
    return {
        clock,
        evidence,
        shared,
        setRun: incarnation => currentIncarnation = incarnation,
        takeRating: () => {
            const other = new Evidence({ clock });
            other.addRating({ version, requestClass, score: 1 });
            listener("entry-2", "evidence/part", Buffer.from(JSON.stringify(other.exportOwn())));
        },
    };
}

function countRatings(evidence: Evidence): number {
    return evidence.getBuckets(version, requestClass).reduce((sum, { tally }) => sum + tally.ratings, 0);
}

async function publishOnce(shared: SharedState): Promise<void> {
    shared.start();
    await shared.stop();
}

describe("SharedState", () => {
    // A site replaces its entries every day. Counts of runs that are long over would stay in every entry's memory, and
    // after some weeks the entries would run out of it, all at about the same time.
    it("lets the counts of a restarted entry's earlier run go once they are old", async () => {
        const { clock, evidence, setRun, takeRating, shared } = createSetup();
        takeRating();
        setRun("2");
        takeRating();
        expect(countRatings(evidence)).toEqual(2);
        clock.advance(10 * hour);
        setRun("3");
        takeRating();
        await publishOnce(shared);
        expect(countRatings(evidence)).toEqual(1);
    });

    it("keeps what an entry that is gone saw until it is old", async () => {
        const { clock, evidence, setRun, takeRating, shared } = createSetup();
        takeRating();
        setRun(undefined);
        await publishOnce(shared);
        expect(countRatings(evidence)).toEqual(1);
        setRun("2");
        takeRating();
        clock.advance(10 * hour);
        setRun(undefined);
        await publishOnce(shared);
        expect(countRatings(evidence)).toEqual(0);
    });
});
