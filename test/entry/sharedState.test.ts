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
    readonly sharedState: SharedState;
    /** Sets the incarnation of `entry-2` that gossip reports; `undefined` once gossip has removed the entry. */
    readonly setIncarnation: (incarnation: string | undefined) => void;
    /** Receives the counts of the current incarnation of `entry-2`. */
    readonly receiveRating: () => void;
}

function createSetup(): Setup {
    const clock = new ManualClock(1_000 * hour);
    const evidence = new Evidence({ clock });
    let currentIncarnation: string | undefined = "1";
    let listener: GossipListener = () => {};
    const sharedState = new SharedState({
        gossip: { get: () => undefined, set: () => {}, onUpdate: updateListener => listener = updateListener },
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
        sharedState,
        setIncarnation: incarnation => currentIncarnation = incarnation,
        receiveRating: () => {
            const other = new Evidence({ clock });
            other.addRating({ version, requestClass, score: 1 });
            listener("entry-2", "evidence/part", Buffer.from(JSON.stringify(other.exportOwn())));
        },
    };
}

function countRatings(evidence: Evidence): number {
    return evidence.getBuckets(version, requestClass).reduce((sum, { tally }) => sum + tally.ratings, 0);
}

async function publishOnce(sharedState: SharedState): Promise<void> {
    sharedState.start();
    await sharedState.stop();
}

describe("SharedState", () => {
    // A site replaces its entries every day. If the counts of past incarnations stayed in every entry's memory, the
    // entries would run out of memory after some weeks, all at about the same time.
    it("removes the counts of a restarted entry's past incarnation once they are old", async () => {
        const { clock, evidence, setIncarnation, receiveRating, sharedState } = createSetup();
        receiveRating();
        setIncarnation("2");
        receiveRating();
        expect(countRatings(evidence)).toEqual(2);
        clock.advance(10 * hour);
        setIncarnation("3");
        receiveRating();
        await publishOnce(sharedState);
        expect(countRatings(evidence)).toEqual(1);
    });

    it("retains the counts of a departed entry until they are old", async () => {
        const { clock, evidence, setIncarnation, receiveRating, sharedState } = createSetup();
        receiveRating();
        setIncarnation(undefined);
        await publishOnce(sharedState);
        expect(countRatings(evidence)).toEqual(1);
        setIncarnation("2");
        receiveRating();
        clock.advance(10 * hour);
        setIncarnation(undefined);
        await publishOnce(sharedState);
        expect(countRatings(evidence)).toEqual(0);
    });
});
