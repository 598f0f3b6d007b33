import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../../src/common/index.js";
import { PoolRooms, type RoomDecision, type RoomOptions, type RoomRequest } from "../../../src/decisions/index.js";
import { EventQueue } from "../../../src/measure/eventQueue.js";

const upstream = { id: "u0", pool: "desk", slots: 4 };

const serviceMilliseconds = 100;

interface Offer {
    readonly decisions: RoomDecision[];
    readonly leave: () => void;
}

function createRooms(options: { readonly nodes?: number; readonly room?: Partial<RoomOptions>; } = {}) {
    const time = new EventQueue();
    let available = [upstream];
    const rooms = new PoolRooms({
        clock: time.clock,
        random: new RandomSource(1),
        getAvailable: () => available,
        getNodeCount: () => options.nodes ?? 1,
        schedule: (milliseconds, run) => time.schedule(milliseconds, run),
        room: options.room,
    });
    const end = rooms.start(upstream);
    time.runUntil(serviceMilliseconds);
    end({ isServed: true, headMilliseconds: serviceMilliseconds });
    const offer = (request: Partial<RoomRequest> = {}, onBegin: () => void = () => {}): Offer => {
        const decisions: RoomDecision[] = [];
        const leave = rooms.offer("desk", createRequest(request), decision => {
            decisions.push(decision);
            if (decision.kind === "begin") {
                onBegin();
            }
        });
        return { decisions, leave };
    };
    /** Reports a full pool, also after the given time, so that the reports stay recent. */
    const keepFull = (milliseconds = 0): void => {
        for (let count = 0; count < 30; count += 1) {
            rooms.addReport(upstream, { requests: 8, slots: 4 });
        }
        for (let at = 200; at < milliseconds; at += 200) {
            time.schedule(at, () => rooms.addReport(upstream, { requests: 8, slots: 4 }));
        }
    };
    const setAvailable = (upstreams: readonly (typeof upstream)[]): void => {
        available = [...upstreams];
    };
    return { time, rooms, offer, keepFull, setAvailable };
}

let callers = 0;

function createRequest(request: Partial<RoomRequest> = {}): RoomRequest {
    callers += 1;
    const caller = `caller-${callers}`;
    return {
        workspace: "clinic",
        priority: 0,
        work: 1,
        bytes: 100,
        objectiveMilliseconds: 1_000,
        deadlineMilliseconds: 4_000,
        getCaller: () => caller,
        ...request,
    };
}

function getKinds(offers: readonly Offer[]): readonly (string | undefined)[] {
    return offers.map(({ decisions }) => decisions[0]?.kind);
}

describe("PoolRooms", () => {
    it("begins each request at once when nothing is known of the load", () => {
        const { offer, rooms } = createRooms();
        const offers = Array.from({ length: 100 }).map(() => offer());
        expect(getKinds(offers).every(kind => kind === "begin")).toEqual(true);
        expect(rooms.getOccupancy("desk")).toEqual(undefined);
        expect(rooms.getWaitMilliseconds("desk", 0)).toEqual(0);
    });

    it("begins each request at once while upstreams report free slots", () => {
        const { offer, rooms } = createRooms();
        rooms.addReport(upstream, { requests: 1, slots: 4 });
        expect(getKinds([offer(), offer()])).toEqual(["begin", "begin"]);
        expect(rooms.getOccupancy("desk")).toEqual(0.25);
    });

    // Guards against a clock that moves between two readings: each request would count as one that waited.
    it("tells requests that pass from those that waited", () => {
        const { offer, keepFull, rooms, time } = createRooms();
        rooms.addReport(upstream, { requests: 1, slots: 4 });
        const passing = offer({ getCaller: () => "passing" });
        keepFull(2_000);
        const waiting = Array.from({ length: 8 }).map(() => offer());
        time.runUntil(2_000);
        const last = waiting.flatMap(({ decisions }) => decisions).find(({ basis }) => basis.waitedMilliseconds > 0);
        expect(passing.decisions.map(decision => decision.kind === "begin" && decision.hasWaited)).toEqual([false]);
        expect(last?.kind === "begin" && last.hasWaited).toEqual(true);
    });

    it("begins waiting requests as the node's share permits", () => {
        const { offer, keepFull, rooms, time } = createRooms({ nodes: 4 });
        keepFull(2_000);
        const offers = Array.from({ length: 4 }).map(() => offer());
        expect(rooms.getWaiting("desk") > 0).toEqual(true);
        expect(rooms.getWaitMilliseconds("desk", 0) > 0).toEqual(true);
        time.runUntil(4_000);
        expect(getKinds(offers).includes("begin")).toEqual(true);
    });

    it("begins the most urgent priority first", () => {
        const { offer, keepFull, time } = createRooms();
        const begun: number[] = [];
        keepFull(4_000);
        offer();
        for (const priority of [2, 2, 0, 0]) {
            offer({ priority, deadlineMilliseconds: 60_000 }, () => begun.push(priority));
        }
        time.runUntil(4_000);
        expect(begun.slice(0, 2)).toEqual([0, 0]);
    });

    // Guards against one workspace's burst: without turns, the other workspace would wait for all of it.
    it("lets workspaces take turns", () => {
        const { offer, keepFull, time } = createRooms();
        const begun: string[] = [];
        keepFull(20_000);
        for (const workspace of ["large", "large", "large", "large", "large", "small"]) {
            const long = { objectiveMilliseconds: 60_000, deadlineMilliseconds: 60_000 };
            offer({ workspace, ...long }, () => begun.push(workspace));
        }
        time.runUntil(20_000);
        expect(begun.indexOf("small") <= 1).toEqual(true);
    });

    it("turns away at once what cannot begin before its deadline, with a third of the time left at most", () => {
        const { offer, keepFull } = createRooms({ nodes: 100 });
        keepFull();
        const { decisions } = offer({ deadlineMilliseconds: 600 });
        expect(decisions.length).toEqual(1);
        const [decision] = decisions;
        expect(decision.kind === "turned-away" && decision.reason).toEqual("late");
        expect(decision.kind === "turned-away" && decision.retryAfterMilliseconds <= 200).toEqual(true);
    });

    // Guards against requests that are held to their end although they can no longer be served.
    it("turns away a waiting request before its deadline when it can no longer begin in time", () => {
        const { offer, keepFull, time } = createRooms({ nodes: 1_000 });
        keepFull(60_000);
        const offers = [offer({ deadlineMilliseconds: 1_000_000 }), offer({ deadlineMilliseconds: 1_500_000 })];
        for (let count = 0; count < 200; count += 1) {
            offer({ priority: 0, workspace: `other-${count}`, deadlineMilliseconds: 1_500_000 });
        }
        time.runUntil(60_000);
        for (const { decisions } of offers) {
            expect(decisions.every(({ basis }) => basis.waitedMilliseconds < 1_000_000)).toEqual(true);
        }
    });

    it("gives nothing for an early repeat", () => {
        const { offer, keepFull, time } = createRooms({ nodes: 100 });
        const getCaller = () => "impatient";
        keepFull(2_000);
        const [first] = offer({ deadlineMilliseconds: 600, getCaller }).decisions;
        time.clock.advance(20);
        const [second] = offer({ deadlineMilliseconds: 60_000, getCaller }).decisions;
        expect(second.kind === "turned-away" && second.reason).toEqual("early");
        const firstReturn = first.kind === "turned-away" ? first.retryAfterMilliseconds : 0;
        const secondReturn = second.kind === "turned-away" ? second.retryAfterMilliseconds : 0;
        expect(Math.round(20 + secondReturn - firstReturn)).toEqual(0);
    });

    // Guards against callers that are taken for one because their requests have no content to tell them apart.
    it("refuses no request as early whose caller is not known", () => {
        const { offer, keepFull, time } = createRooms({ nodes: 100 });
        const getCaller = () => undefined;
        keepFull();
        offer({ deadlineMilliseconds: 600, getCaller });
        time.clock.advance(20);
        expect(offer({ deadlineMilliseconds: 60_000, getCaller }).decisions.length).toEqual(0);
    });

    it("tells an early repeat a third of its own time left at most", () => {
        const { offer, keepFull, time } = createRooms({ nodes: 100 });
        const getCaller = () => "hurried";
        keepFull();
        offer({ deadlineMilliseconds: 1_000, getCaller });
        time.clock.advance(20);
        const [decision] = offer({ deadlineMilliseconds: 300, getCaller }).decisions;
        expect(decision.kind === "turned-away" && decision.reason).toEqual("early");
        expect(decision.kind === "turned-away" && decision.retryAfterMilliseconds <= 100).toEqual(true);
    });

    it("forgets the refusal of a caller whose request began", () => {
        const { offer, keepFull, time } = createRooms({ nodes: 30 });
        const begun: string[] = [];
        const getCaller = () => "served";
        const long = { objectiveMilliseconds: 1e6, deadlineMilliseconds: 1e6 };
        keepFull(60_000);
        offer({ deadlineMilliseconds: 100, getCaller });
        time.runUntil(1_000);
        offer({ ...long, getCaller }, () => begun.push("first"));
        time.runUntil(20_000);
        offer({ ...long, objectiveMilliseconds: 9e5 }, () => begun.push("other"));
        offer({ ...long, getCaller }, () => begun.push("second"));
        time.runUntil(60_000);
        expect(begun.slice(0, 2)).toEqual(["first", "other"]);
    });

    it("puts a caller that waited as told ahead of others of its workspace", () => {
        const { offer, keepFull, time } = createRooms({ nodes: 30 });
        const begun: string[] = [];
        const getCaller = () => "patient";
        keepFull(60_000);
        offer({ deadlineMilliseconds: 100, getCaller });
        time.runUntil(1_000);
        const long = { objectiveMilliseconds: 1_000_000, deadlineMilliseconds: 1_000_000 };
        offer(long, () => begun.push("other"));
        offer({ ...long, objectiveMilliseconds: 999_000 }, () => begun.push("other"));
        offer({ ...long, getCaller }, () => begun.push("patient"));
        time.runUntil(60_000);
        expect(begun[0]).toEqual("patient");
    });

    it("forgets a caller that leaves", () => {
        const { offer, keepFull, rooms, time } = createRooms({ nodes: 30 });
        keepFull(2_000);
        const { decisions, leave } = offer({ deadlineMilliseconds: 1_000_000 });
        leave();
        expect(rooms.getWaiting("desk")).toEqual(0);
        time.runUntil(2_000);
        expect(decisions.length).toEqual(0);
    });

    // Guards against requests that are refused or pushed out of the queue since others only ask for a second runner at a full pool.
    it("lets a request begin only if there is room now, and leaves nothing of it otherwise", () => {
        const { offer, keepFull, rooms } = createRooms({ nodes: 30 });
        const asked = createRequest({ deadlineMilliseconds: 100, getCaller: () => "asking" });
        expect(rooms.tryBegin("desk", asked)).toEqual(true);
        keepFull();
        const { decisions: waiting } = offer({ deadlineMilliseconds: 1_000_000 });
        for (let count = 0; count < 1_000; count += 1) {
            expect(rooms.tryBegin("desk", asked)).toEqual(false);
        }
        expect([rooms.getWaiting("desk"), waiting.length]).toEqual([1, 0]);
        const { decisions } = offer({ deadlineMilliseconds: 1_000_000, getCaller: () => "asking" });
        expect([decisions.length, rooms.getWaiting("desk")]).toEqual([0, 2]);
    });

    // Guards against a repeat that stays in the queue without a caller and takes the room of others.
    it("forgets a repeating caller that leaves", () => {
        const { offer, keepFull, rooms, time } = createRooms({ nodes: 30 });
        const getCaller = () => "repeating";
        keepFull(4_000);
        offer({ deadlineMilliseconds: 100, getCaller });
        time.runUntil(1_000);
        const { decisions, leave } = offer({ deadlineMilliseconds: 1_000_000, getCaller });
        expect(rooms.getWaiting("desk")).toEqual(1);
        leave();
        expect(rooms.getWaiting("desk")).toEqual(0);
        time.runUntil(4_000);
        expect(decisions.length).toEqual(0);
    });

    // Guards against a pool that looks full through each roll-out: requests at leaving upstreams are in none of its slots.
    it("counts neither requests at upstreams that are leaving nor what these report", () => {
        const { rooms, setAvailable } = createRooms();
        const staying = { ...upstream, id: "u1" };
        setAvailable([upstream, staying]);
        rooms.addReport(staying, { requests: 0, slots: 4 });
        expect(rooms.getOccupancy("desk")).toEqual(0);
        const ends = Array.from({ length: 4 }).map(() => rooms.start(upstream));
        expect(rooms.getOccupancy("desk")).toEqual(0.5);
        setAvailable([staying]);
        expect(rooms.getOccupancy("desk")).toEqual(0);
        rooms.addReport(upstream, { requests: 40, slots: 4 });
        expect(rooms.getOccupancy("desk")).toEqual(0);
        for (const end of ends) {
            end({ isServed: false, headMilliseconds: undefined });
        }
        expect(rooms.getOccupancy("desk")).toEqual(0);
    });

    // Guards against room for requests that nobody waits for any more when they are answered.
    it("turns away a waiting request that cannot be answered any more instead of beginning it", () => {
        const { offer, keepFull, rooms, time } = createRooms({ nodes: 30, room: { sweepMilliseconds: 1e9 } });
        const long = { objectiveMilliseconds: 1e9, deadlineMilliseconds: 1e9 };
        keepFull(60_000);
        const doomed = offer({ ...long, objectiveMilliseconds: 1e6, deadlineMilliseconds: 10_000 });
        const others = [offer(long), offer(long)];
        expect(rooms.getWaiting("desk")).toEqual(3);
        rooms.start(upstream)({ isServed: true, headMilliseconds: 1e9 });
        time.runUntil(60_000);
        expect(getKinds([doomed])).toEqual(["turned-away"]);
        expect(getKinds(others).includes("begin")).toEqual(true);
    });

    // Guards against a pause of the reports that begins all waiting requests at once.
    it("begins one waiting request at once, and the others at the last rate, when the load becomes unknown", () => {
        const { offer, keepFull, rooms, time } = createRooms({ nodes: 100 });
        const long = { objectiveMilliseconds: 1e9, deadlineMilliseconds: 1e9 };
        keepFull();
        const offers = Array.from({ length: 20 }).map(() => offer(long));
        time.runUntil(2_000);
        const before = rooms.getWaiting("desk");
        time.runUntil(2_300);
        expect(before - rooms.getWaiting("desk")).toEqual(1);
        expect(offer(long).decisions.length).toEqual(0);
        time.runUntil(60_000);
        expect(rooms.getWaiting("desk") < before - 1).toEqual(true);
        expect(getKinds(offers).every(kind => kind === "begin" || kind === undefined)).toEqual(true);
    });

    it("bounds the waiting requests by their number and their bytes, and turns away the least urgent", () => {
        const long = { objectiveMilliseconds: 1e9, deadlineMilliseconds: 1e9 };
        for (const bounds of [{ requests: 2, bytes: 1_000 }, { requests: 100, bytes: 200 }]) {
            const { offer, keepFull } = createRooms({ nodes: 30, room: { bounds } });
            keepFull();
            const least = offer({ ...long, priority: 2 });
            const others = [offer(long), offer(long)];
            expect(least.decisions[0]?.kind).toEqual("turned-away");
            expect(getKinds(others)).toEqual([undefined, undefined]);
        }
    });

    // Guards against starvation: with strict priorities, the least urgent would never begin while more urgent requests wait.
    it("begins some requests of a priority that is hardly served", () => {
        const { offer, keepFull, time } = createRooms();
        const counts = [0, 0];
        keepFull(60_000);
        for (let at = 0; at < 60_000; at += 50) {
            for (const [index, priority] of [0, 2].entries()) {
                time.schedule(at, () => offer({ priority }, () => counts[index] += 1));
            }
        }
        time.runUntil(60_000);
        expect(counts[0] > counts[1]).toEqual(true);
        expect(counts[1] >= (counts[0] + counts[1]) / 2 / 4).toEqual(true);
    });

    it("prints the time of a decision while 2,000 requests wait", () => {
        const { offer, keepFull, rooms, time } = createRooms({ nodes: 30, room: { minRateShare: 1 } });
        const long = { objectiveMilliseconds: 1e9, deadlineMilliseconds: 1e9 };
        keepFull();
        for (let count = 0; count < 2_000; count += 1) {
            offer({ ...long, priority: count % 3, workspace: `w${count % 24}` });
        }
        expect(rooms.getWaiting("desk") >= 1_999).toEqual(true);
        const requests = Array.from({ length: 5_000 }).map((_, count) =>
            createRequest({ ...long, priority: count % 3, workspace: `w${count % 24}` })
        );
        const decide = (): void => {
            for (const request of requests) {
                time.clock.advance(0.001);
                rooms.offer("desk", request, () => {})();
            }
        };
        decide();
        const before = process.cpuUsage();
        decide();
        const { user, system } = process.cpuUsage(before);
        const microseconds = (user + system) / requests.length;
        console.log(`a decision with 2,000 waiting: ${microseconds.toFixed(1)} microseconds`);
    });
});
