import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { partPolicy, type Quarantine } from "../../src/quarantine/index.js";
import { addCrashes, createCrash, createQuarantine } from "../fixtures/quarantines.js";

const second = 1_000;

function createPartQuarantine(options: Parameters<typeof createQuarantine>[0] = {}) {
    return createQuarantine({ policy: partPolicy, ...options });
}

function isQuarantined(quarantine: Quarantine, part: string): boolean {
    return quarantine.isQuarantined(() => [part]);
}

describe("the quarantine of parts of prompts", () => {
    // Guards against five crashes at five nodes that are five first ones.
    it("counts the crashes of all nodes, from the first one on", () => {
        const first = createPartQuarantine();
        const second = createPartQuarantine();
        addCrashes(first.quarantine, "a", 1);
        expect(first.published.map(({ urgent }) => urgent)).toEqual([true]);
        second.quarantine.merge(first.published[0].records);
        expect(isQuarantined(second.quarantine, "a")).toEqual(false);
        addCrashes(second.quarantine, "a", 1);
        expect(isQuarantined(second.quarantine, "a")).toEqual(true);
    });

    // Guards against a part that ends its upstreams before the first byte of any answer, and is never found.
    it("takes effect at the third crash of an upstream at which a request with it only waited", () => {
        const { quarantine } = createPartQuarantine();
        for (let crash = 1; crash <= 3; crash += 1) {
            expect(isQuarantined(quarantine, "a")).toEqual(false);
            quarantine.addCrash({ ...createCrash("a", crash * second), stage: "waiting" });
        }
        expect(isQuarantined(quarantine, "a")).toEqual(true);
    });

    // Guards against a part that goes on ending upstreams since a harmless one was taken for the cause.
    it("counts crashes against a part that ran well which come long after another one was quarantined", () => {
        const { quarantine } = createPartQuarantine();
        quarantine.addSurvival("a", 0, -10 * second);
        quarantine.addCrash(createCrash("b", 1 * second));
        quarantine.addCrash({ ...createCrash("b", 2 * second), beganAt: 2 * second });
        expect(isQuarantined(quarantine, "b")).toEqual(true);
        quarantine.addCrash(createCrash("a", 4 * second));
        expect(quarantine.getPoints(() => "a")).toEqual(0);
        quarantine.addCrash(createCrash("a", 6 * second));
        expect(quarantine.getPoints(() => "a")).toEqual(1);
    });

    // Guards against the refusal of parts that stand in all requests of the queues of many upstreams that end at once.
    it("counts crashes of upstreams that ended together once, for the requests that waited there", () => {
        const { quarantine } = createPartQuarantine();
        for (let crash = 0; crash < 10; crash += 1) {
            quarantine.addCrash({ ...createCrash("a", second + 20 * crash), stage: "waiting" });
        }
        expect(quarantine.getPoints(() => "a")).toEqual(1);
    });

    // Guards against crashes that count once since they became known late, when many later runs had begun.
    it("counts crashes that became known late by the times of the runs", () => {
        const { quarantine } = createPartQuarantine();
        quarantine.addCrash({ ...createCrash("a", 1_000), beganAt: 950 });
        quarantine.addCrash({ ...createCrash("a", 1_030), beganAt: 960 });
        expect(isQuarantined(quarantine, "a")).toEqual(false);
        quarantine.addCrash({ ...createCrash("a", 1_400), beganAt: 1_350 });
        expect(isQuarantined(quarantine, "a")).toEqual(true);
    });

    // Guards against the refusal of a part for crashes that become known after sound runs have disproved them.
    it("does not count a crash after which a sound run has begun, here or at another node", () => {
        const clock = new ManualClock();
        const first = createPartQuarantine({ clock });
        const other = createPartQuarantine({ clock });
        first.quarantine.addSurvival("a", 0, 2_000);
        first.quarantine.addCrash(createCrash("a", 1_500));
        expect(first.quarantine.getPoints(() => "a")).toEqual(0);
        other.quarantine.addCrash(createCrash("a", 1_000));
        other.quarantine.addCrash({ ...createCrash("a", 1_900), beganAt: 1_800 });
        expect(isQuarantined(other.quarantine, "a")).toEqual(true);
        first.quarantine.merge(other.published.at(-1)!.records);
        other.quarantine.merge(first.published.at(-1)!.records);
        expect([isQuarantined(first.quarantine, "a"), isQuarantined(other.quarantine, "a")]).toEqual([false, false]);
    });

    // Guards against the refusal of all requests that share a part with those that crash upstreams.
    it("takes effect at the fourth crash for a part that has run well, counted as fast as runs could disprove it", () => {
        const clock = new ManualClock();
        const { quarantine } = createPartQuarantine({ clock });
        quarantine.addSurvival("a", 0);
        addCrashes(quarantine, "a", 10, clock);
        expect(quarantine.getPoints(() => "a")).toEqual(1);
        for (let crash = 2; crash <= 4; crash += 1) {
            expect(isQuarantined(quarantine, "a")).toEqual(false);
            clock.advance(second);
            addCrashes(quarantine, "a", 1, clock);
        }
        expect(isQuarantined(quarantine, "a")).toEqual(true);
    });

    it("does not suspect a part that has run well while one is quarantined that has not", () => {
        const { quarantine } = createPartQuarantine();
        quarantine.addSurvival("shared", 0);
        addCrashes(quarantine, "crashing", 2);
        addCrashes(quarantine, "shared", 1);
        addCrashes(quarantine, "crashing", 1);
        expect([quarantine.getPoints(() => "shared"), quarantine.getPoints(() => "crashing")]).toEqual([0, 6]);
    });

    // Guards against a part that begins to crash upstreams while requests with it still run that began before.
    it("is disproved only by a run that began after the crashes", () => {
        const { quarantine } = createPartQuarantine();
        addCrashes(quarantine, "a", 2);
        quarantine.addSurvival("a", 0);
        expect(isQuarantined(quarantine, "a")).toEqual(true);
        quarantine.addSurvival("a", quarantine.getPoints(() => "a"));
        expect(isQuarantined(quarantine, "a")).toEqual(false);
    });

    // Guards against a quarantine that a run makes longer by disproving a part of the suspicion.
    it("ends when it did if a run disproves some of the crashes only", () => {
        const { quarantine } = createPartQuarantine();
        addCrashes(quarantine, "a", 3);
        quarantine.addSurvival("a", 2);
        expect(quarantine.admit(() => ["a"])).toEqual(32 * second);
    });

    // Guards against a harmless part that the other nodes go on refusing after one has tried it.
    it("is lifted at all nodes by a trial after its end", () => {
        const clock = new ManualClock();
        const { quarantine, published } = createPartQuarantine({ clock });
        const other = createPartQuarantine({ clock }).quarantine;
        addCrashes(quarantine, "a", 2);
        other.merge(published.at(-1)!.records);
        clock.advance(2 * second);
        expect(quarantine.admit(() => ["a"])).toEqual(undefined);
        quarantine.addSurvival("a", quarantine.getPoints(() => "a"));
        other.merge(published.at(-1)!.records);
        expect([published.at(-1)!.urgent, isQuarantined(other, "a")]).toEqual([true, false]);
    });

    // Guards against a harmless part that stays refused since the one node that may try it gets no request with it.
    it("is tried by another node if the first one has not", () => {
        const clock = new ManualClock();
        const { quarantine } = createPartQuarantine({ clock, getTrialRank: () => 1 });
        addCrashes(quarantine, "a", 2);
        clock.advance(2 * second);
        expect(quarantine.admit(() => ["a"])).toEqual(second);
        clock.advance(5 * second);
        expect(quarantine.admit(() => ["a"])).toEqual(undefined);
    });

    it("tries a request with two quarantined parts when the quarantine of both is over", () => {
        const clock = new ManualClock();
        const { quarantine } = createPartQuarantine({ clock });
        addCrashes(quarantine, "a", 2);
        addCrashes(quarantine, "b", 3);
        clock.advance(2 * second);
        expect(quarantine.admit(() => ["a", "b"])).toEqual(30 * second);
        clock.advance(30 * second);
        expect([quarantine.admit(() => ["a", "b"]), quarantine.admit(() => ["a", "b"])]).toEqual([
            undefined,
            30 * second,
        ]);
    });
});
