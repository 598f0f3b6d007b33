import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { partPolicy, type UpstreamLife, WatchedRun } from "../../src/quarantine/index.js";
import { LastSigns } from "../../src/quarantine/lastSigns.js";
import { addCrashes, createQuarantine } from "../fixtures/quarantines.js";

function createRun() {
    const clock = new ManualClock();
    const { quarantine } = createQuarantine({ clock });
    const partQuarantine = createQuarantine({ clock, policy: partPolicy }).quarantine;
    const request = {
        id: "1",
        isStream: true,
        getFingerprint: () => "request",
        getTraitKeys: () => ["request"],
        getPartKeys: () => ["part"],
    };
    const upstream = {
        id: "u1",
        isRefusingConnections: () => Promise.resolve(false),
        getLife: () => Promise.resolve<UpstreamLife>("running"),
    };
    const lastSigns = new LastSigns();
    const isLastAttempt = () => false;
    const run = new WatchedRun({ request, upstream, isLastAttempt, clock, quarantine, partQuarantine, lastSigns });
    return { clock, partQuarantine, run };
}

describe("a watched run", () => {
    // Guards against crashes that count once because their requests had waited at upstreams since before the first one.
    it("has the points that its parts have when its answer starts", () => {
        const { partQuarantine, run } = createRun();
        addCrashes(partQuarantine, "part", 1);
        run.markHead();
        addCrashes(partQuarantine, "part", 1);
        expect([...run.partPoints]).toEqual([["part", 2]]);
    });

    it("does not disprove crashes that came after the start of its answer", () => {
        const { partQuarantine, run } = createRun();
        run.markHead();
        addCrashes(partQuarantine, "part", 2);
        run.addSurvival();
        expect(partQuarantine.isQuarantined(() => ["part"])).toEqual(true);
    });

    it("shows that its parts crash nothing while its answer goes on", () => {
        const { clock, partQuarantine, run } = createRun();
        run.markHead();
        for (let piece = 1; piece <= 5; piece += 1) {
            expect(partQuarantine.hasSurvived("part")).toEqual(false);
            clock.advance(100);
            run.markPiece();
        }
        expect(partQuarantine.hasSurvived("part")).toEqual(true);
    });

    // Guards against a node that was suspended after the start of an answer and reads the rest of it when its upstream has crashed.
    it("shows nothing by a piece that arrives after a long pause", () => {
        const { clock, partQuarantine, run } = createRun();
        run.markHead();
        clock.advance(5_000);
        run.markPiece();
        run.markPiece();
        expect(partQuarantine.hasSurvived("part")).toEqual(false);
    });
});
