import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import {
    CrashWatch,
    partPolicy,
    type UpstreamLife,
    type WatchedRequest,
    type WatchedRun,
} from "../../src/quarantine/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createQuarantine } from "../fixtures/quarantines.js";

const eventMilliseconds = 50;
const silentMilliseconds = 1_200;

/** What an upstream shows: its life, or that it has started anew, so that it refuses no connections. */
type ShownLife = UpstreamLife | "restarted";

/** Creates a watch of upstreams that show the given life. Each request has a part of its own and one in common. */
function createWatch({ life = "unresponsive" }: { readonly life?: ShownLife; } = {}) {
    const clock = new ManualClock(10_000);
    const { journal, lines } = createJournal();
    const quarantine = createQuarantine({ clock }).quarantine;
    const partQuarantine = createQuarantine({ clock, policy: partPolicy }).quarantine;
    const wait = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
    const watch = new CrashWatch({ clock, journal, quarantine, partQuarantine, wait });
    let count = 0;
    const createRequest = (): WatchedRequest => {
        count += 1;
        const fingerprint = `request-${count}`;
        return {
            id: fingerprint,
            isStream: true,
            getFingerprint: () => fingerprint,
            getTraitKeys: () => [fingerprint],
            getPartKeys: () => ["common", `part-${fingerprint}`],
        };
    };
    const startRun = (request: WatchedRequest, upstream: string): WatchedRun =>
        watch.startRun(request, {
            upstream: {
                id: upstream,
                isRefusingConnections: () => Promise.resolve(life === "ended"),
                getLife: () => Promise.resolve(life === "restarted" ? "ended" : life),
            },
            isLastAttempt: () => false,
        });
    const start = (upstream: string): WatchedRun => startRun(createRequest(), upstream);
    const repeated = createRequest();
    const startAgain = (upstream: string): WatchedRun => startRun(repeated, upstream);
    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 5; turn += 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const getPoints = (): number => partQuarantine.getPoints(() => "common");
    const getRequestPoints = ({ request }: WatchedRun): number => quarantine.getPoints(request.getFingerprint);
    return { clock, lines, watch, start, startAgain, settle, getPoints, getRequestPoints };
}

describe("the watch for crashed upstreams, by what they show", () => {
    // Guards against a part whose runners go dark under it, and break no connection.
    it("counts an upstream that has been silent since the start of an answer and gives no sign of life", async () => {
        const { clock, watch, start, settle, getPoints } = createWatch();
        const run = start("u1");
        clock.advance(eventMilliseconds);
        run.markHead();
        clock.advance(silentMilliseconds);
        watch.observeSilence(run);
        await settle();
        expect(getPoints()).toEqual(2);
    });

    // Guards against the refusal of parts of sound requests whose runners are silent for a while and go on.
    it("counts no upstream that is silent and gives a sign of life, or that is silent for less than a second", async () => {
        for (const [life, milliseconds] of [["running", silentMilliseconds], ["unresponsive", 900]] as const) {
            const { clock, watch, start, settle, getPoints } = createWatch({ life });
            const runs = [start("u1"), start("u1")];
            runs[0].markHead();
            clock.advance(milliseconds);
            for (const run of runs) {
                watch.observeSilence(run);
            }
            await settle();
            expect(getPoints()).toEqual(0);
        }
    });

    // Guards against the refusal of requests that are sent to an upstream which was dark before, one after the other.
    it("counts no unresponsive upstream that has sent nothing since the request was sent", async () => {
        const { clock, lines, watch, start, settle, getPoints } = createWatch();
        const run = start("u1");
        clock.advance(silentMilliseconds);
        watch.observeSilence(run);
        await settle();
        expect([getPoints(), lines.map(({ event, found }) => `${event} ${String(found)}`)]).toEqual([
            0,
            ["476 unresponsive"],
        ]);
    });

    // Guards against a part whose runners end before the first byte of its answer.
    it("counts an upstream that has ended alone by one point for the parts of a request that waited", async () => {
        const { clock, watch, start, settle, getPoints } = createWatch({ life: "ended" });
        const run = start("u1");
        clock.advance(eventMilliseconds);
        await watch.evaluate(run, "disconnected");
        await settle();
        expect(getPoints()).toEqual(1);
    });

    // Guards against the refusal of parts that stand in all requests that waited as many upstreams ended.
    it("counts no upstream that has ended together with another one for the parts of requests that waited", async () => {
        const { clock, watch, start, settle, getPoints } = createWatch({ life: "ended" });
        const runs = [start("u1"), start("u2")];
        clock.advance(eventMilliseconds);
        await Promise.all(runs.map(run => watch.evaluate(run, "disconnected")));
        await settle();
        expect(getPoints()).toEqual(0);
    });

    // Guards against the refusal of parts that stand in the requests of many upstreams that go dark at once.
    it("counts no upstream that falls silent together with two others, whatever its answer had begun", async () => {
        const { clock, lines, watch, start, settle, getPoints } = createWatch();
        const runs = ["u1", "u2", "u3"].map(upstream => start(upstream));
        for (const run of runs) {
            clock.advance(10);
            run.markHead();
        }
        clock.advance(silentMilliseconds);
        for (const run of runs) {
            watch.observeSilence(run);
        }
        await settle();
        const notCounted = lines.filter(({ event }) => event === 477);
        expect([getPoints(), notCounted.map(({ others }) => others)]).toEqual([0, [2, 2, 2]]);
    });

    // Guards against a part whose requests all go to upstreams that had just nothing to say to the node.
    it("counts an upstream that was heard less than a second before the request was sent, by one point", async () => {
        for (const [pause, points] of [[500, 1], [1_100, 0]]) {
            const { clock, watch, start, settle, getPoints } = createWatch();
            start("u1").markHead();
            clock.advance(pause);
            const run = start("u1");
            clock.advance(silentMilliseconds);
            watch.observeSilence(run);
            await settle();
            expect(getPoints()).toEqual(points);
        }
    });

    // Guards against requests that meet an upstream which was dark before, and is back by the time it is looked at.
    it("counts no upstream that has started anew if it was dark before the request was sent", async () => {
        const { clock, watch, start, settle, getPoints } = createWatch({ life: "restarted" });
        const run = start("u1");
        clock.advance(silentMilliseconds);
        watch.observeSilence(run);
        await settle();
        expect(getPoints()).toEqual(0);
    });

    // Guards against a part whose crashes do not add up, since the first end was noticed only as its upstream came back.
    it("adds up the crashes of an upstream that has started anew and of one that ended after it was last heard", async () => {
        const { clock, watch, start, settle, getPoints } = createWatch({ life: "restarted" });
        const first = start("u1");
        clock.advance(900);
        const second = start("u2");
        await watch.evaluate(first, "disconnected");
        clock.advance(eventMilliseconds);
        await watch.evaluate(second, "disconnected");
        await settle();
        expect(getPoints()).toEqual(2);
    });

    // Guards against a request that ends its upstreams for as long as these are back at once.
    it("counts an upstream that has started anew against the request that it had worked on", async () => {
        const { clock, watch, start, settle, getRequestPoints } = createWatch({ life: "restarted" });
        const run = start("u1");
        clock.advance(eventMilliseconds);
        await watch.evaluate(run, "disconnected");
        await settle();
        expect(getRequestPoints(run)).toEqual(1);
    });

    // Guards against a rare part whose every request ends three upstreams before it counts again.
    it("counts two crashes under one request that waited, and no third one", async () => {
        const { clock, watch, startAgain, settle, getPoints } = createWatch({ life: "ended" });
        const points: number[] = [];
        for (const upstream of ["u1", "u2", "u3"]) {
            const run = startAgain(upstream);
            clock.advance(silentMilliseconds / 2);
            await watch.evaluate(run, "disconnected");
            await settle();
            points.push(getPoints());
        }
        expect(points).toEqual([1, 2, 2]);
    });

    it("counts no crash long after the start of an answer, also if the end is noticed late", async () => {
        const { clock, watch, start, settle, getPoints } = createWatch();
        const run = start("u1");
        run.markHead();
        clock.advance(500);
        run.markPiece();
        clock.advance(silentMilliseconds);
        await watch.evaluate(run, "disconnected");
        await settle();
        expect(getPoints()).toEqual(0);
    });
});
