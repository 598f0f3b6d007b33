import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import type { Quarantine } from "../../src/quarantine/index.js";
import { addCrashes, createCrash, createQuarantine } from "../fixtures/quarantines.js";

const minute = 60_000;
const day = 24 * 60 * minute;

function isQuarantined(quarantine: Quarantine, fingerprint: string): boolean {
    return quarantine.admit(() => [fingerprint]) !== undefined;
}

describe("the quarantine of requests that crash upstreams", () => {
    it("takes effect at the third crash of a request as it begins to run", () => {
        const { quarantine } = createQuarantine();
        addCrashes(quarantine, "a", 2);
        expect(isQuarantined(quarantine, "a")).toEqual(false);
        addCrashes(quarantine, "a", 1);
        expect([quarantine.admit(() => ["a"]), quarantine.countQuarantined()]).toEqual([minute, 1]);
    });

    // Guards against a request that crashes its upstreams before any answer starts and is never found.
    it("takes effect at the sixth crash of a request that was waiting", () => {
        const { quarantine } = createQuarantine();
        for (let crash = 1; crash <= 6; crash += 1) {
            expect(isQuarantined(quarantine, "a")).toEqual(false);
            const pointsAtStart = quarantine.getPoints(() => "a");
            quarantine.addCrash({ ...createCrash("a"), pointsAtStart, stage: "waiting" });
        }
        expect(isQuarantined(quarantine, "a")).toEqual(true);
    });

    // Guards against the refusal of a harmless request of which many copies are in flight when half of all runners die.
    it("counts crashes of attempts that were in flight together once", () => {
        const { quarantine } = createQuarantine();
        for (let copy = 0; copy < 10; copy += 1) {
            quarantine.addCrash(createCrash("a"));
        }
        expect([quarantine.getPoints(() => "a"), isQuarantined(quarantine, "a")]).toEqual([2, false]);
    });

    // Guards against the refusal of a path that is requested for hours and meets a crash now and then.
    it("forgets the crashes of a request that has run to its end", () => {
        const clock = new ManualClock();
        const { quarantine } = createQuarantine({ clock });
        addCrashes(quarantine, "a", 2);
        quarantine.addSurvival("a");
        clock.advance(minute);
        addCrashes(quarantine, "a", 2);
        expect(isQuarantined(quarantine, "a")).toEqual(false);
        addCrashes(quarantine, "a", 1);
        expect(isQuarantined(quarantine, "a")).toEqual(true);
    });

    // Guards against the refusal of a request without a body, which many callers send, while other requests crash its upstreams.
    it("does not take effect while such requests run to their end, at whichever node", () => {
        const { quarantine, published } = createQuarantine();
        const other = createQuarantine();
        quarantine.addSurvival("a");
        addCrashes(quarantine, "a", 3);
        expect(published.length).toEqual(0);
        addCrashes(other.quarantine, "a", 3);
        quarantine.merge(other.published.at(-1)!.records);
        other.quarantine.merge(published.at(-1)!.records);
        expect([isQuarantined(quarantine, "a"), isQuarantined(other.quarantine, "a")]).toEqual([false, false]);
    });

    it("is lifted for all nodes when a run that was still in flight ends well", async () => {
        const { quarantine, published, stored, lines } = createQuarantine();
        const other = createQuarantine().quarantine;
        addCrashes(quarantine, "a", 3);
        other.merge(published.at(-1)!.records);
        expect(isQuarantined(other, "a")).toEqual(true);
        quarantine.addSurvival("a");
        other.merge(published.at(-1)!.records);
        await Promise.resolve();
        expect([isQuarantined(quarantine, "a"), isQuarantined(other, "a")]).toEqual([false, false]);
        expect([published.at(-1)!.urgent, stored.at(-1)?.[0].cleared]).toEqual([true, 6]);
        expect(lines.map(line => line.event)).toEqual([425, 426]);
    });

    it("ends with one trial at one node, whose crash starts a longer one", () => {
        const clock = new ManualClock();
        const { quarantine, published } = createQuarantine({ clock });
        const other = createQuarantine({ clock, getTrialRank: () => 1 }).quarantine;
        addCrashes(quarantine, "a", 3);
        other.merge(published.at(-1)!.records);
        clock.advance(minute);
        const admitted = [isQuarantined(quarantine, "a"), isQuarantined(quarantine, "a"), isQuarantined(other, "a")];
        expect(admitted).toEqual([false, true, true]);
        addCrashes(quarantine, "a", 1);
        expect(quarantine.admit(() => ["a"])).toEqual(32 * minute);
    });

    // Guards against a request that stays refused because the node that tried it received no answer.
    it("repeats a trial that has shown nothing", () => {
        const clock = new ManualClock();
        const { quarantine } = createQuarantine({ clock });
        addCrashes(quarantine, "a", 3);
        clock.advance(minute);
        expect(isQuarantined(quarantine, "a")).toEqual(false);
        expect(quarantine.admit(() => ["a"])).toEqual(minute / 2);
        clock.advance(minute / 2);
        expect(isQuarantined(quarantine, "a")).toEqual(false);
    });

    // Guards against more than three retries a day of a request that never stops coming back.
    it("lets a request that comes back all the time through three times a day", () => {
        const clock = new ManualClock();
        const { quarantine } = createQuarantine({ clock });
        addCrashes(quarantine, "a", 3);
        let retries = 0;
        for (let elapsed = 0; elapsed < day; elapsed += minute) {
            clock.advance(minute);
            if (!isQuarantined(quarantine, "a")) {
                retries += 1;
                addCrashes(quarantine, "a", 1);
            }
        }
        expect(retries).toEqual(3);
    });

    it("is forgotten a day after its end, and a suspicion after ten minutes", () => {
        const clock = new ManualClock();
        const { quarantine } = createQuarantine({ clock });
        addCrashes(quarantine, "a", 3);
        addCrashes(quarantine, "b", 2);
        clock.advance(10 * minute);
        expect([quarantine.getPoints(() => "a"), quarantine.getPoints(() => "b")]).toEqual([6, 0]);
        clock.advance(day);
        expect(quarantine.getPoints(() => "a")).toEqual(0);
    });

    // Guards against a fleet that exchanges records of every harmless request that was in flight when many upstreams died.
    it("tells the other nodes of a first crash only if no attempt is left, and of further ones at once", () => {
        const { quarantine, published } = createQuarantine();
        addCrashes(quarantine, "a", 1);
        quarantine.addSurvival("a");
        expect(published.length).toEqual(0);
        addCrashes(quarantine, "b", 3);
        quarantine.addCrash({ ...createCrash("c"), isLastAttempt: true });
        expect(published.map(({ urgent }) => urgent)).toEqual([true, true, true]);
    });

    it("stores what it has quarantined, and repeats a write that failed", async context => {
        context.mock.timers.enable({ apis: ["setTimeout"] });
        const results = [false, true];
        const { quarantine, stored } = createQuarantine({ store: () => Promise.resolve(results.shift()!) });
        addCrashes(quarantine, "b", 2);
        expect(stored.length).toEqual(0);
        addCrashes(quarantine, "a", 3);
        await new Promise(resolve => setImmediate(resolve));
        context.mock.timers.tick(1_000);
        await new Promise(resolve => setImmediate(resolve));
        expect(stored.map(records => records.map(({ fingerprint }) => fingerprint))).toEqual([["a"], ["a"]]);
    });

    // Guards against a quarantine that is lost when the node that found the request ends at once.
    it("is published and stored by a second node", () => {
        const first = createQuarantine({ getTrialRank: () => 1 });
        const second = createQuarantine();
        const third = createQuarantine({ getTrialRank: () => 1 });
        addCrashes(first.quarantine, "a", 3);
        for (const { quarantine } of [second, third]) {
            quarantine.merge(first.published.at(-1)!.records);
            quarantine.merge(first.published.at(-1)!.records);
        }
        expect([second.published.length, second.stored.length]).toEqual([1, 1]);
        expect([third.published.length, third.stored.length]).toEqual([0, 0]);
    });

    // Guards against writes to the store with each crash under a request that has long been disproved.
    it("is neither published nor stored by a second node when it does not hold", () => {
        const { quarantine, published, stored } = createQuarantine();
        quarantine.merge([{ fingerprint: "a", points: 8, cleared: 6, until: minute }]);
        quarantine.merge([{ fingerprint: "a", points: 8, cleared: 8, until: minute }]);
        expect([published.length, stored.length]).toEqual([0, 0]);
    });

    // Guards against a node that overwrites what it stored before a restart.
    it("writes what it stored before a restart again with its next finding", async () => {
        const first = createQuarantine();
        addCrashes(first.quarantine, "a", 3);
        const second = createQuarantine();
        second.quarantine.merge(first.stored[0]);
        addCrashes(second.quarantine, "b", 3);
        await new Promise(resolve => setImmediate(resolve));
        expect(second.stored.at(-1)!.map(({ fingerprint }) => fingerprint)).toEqual(["a", "b"]);
    });

    it("remembers a bounded number of requests and forgets the least suspect ones first", () => {
        const { quarantine, published } = createQuarantine();
        addCrashes(quarantine, "quarantined", 3);
        for (let index = 0; index < 2_000; index += 1) {
            quarantine.addCrash({ ...createCrash(`suspect-${index}`), isLastAttempt: true });
        }
        expect(isQuarantined(quarantine, "quarantined")).toEqual(true);
        expect(quarantine.getPoints(() => "suspect-0")).toEqual(0);
        expect(quarantine.getPoints(() => "suspect-1999")).toEqual(2);
        expect(published.at(-1)!.records.length).toEqual(64);
    });

    it("reads no request while none is suspect", () => {
        const { quarantine } = createQuarantine();
        const fail = (): never => {
            throw new Error("The request was read.");
        };
        expect([quarantine.admit(fail), quarantine.getPoints(fail)]).toEqual([undefined, 0]);
    });
});
