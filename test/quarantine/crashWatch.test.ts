import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { CrashWatch, partPolicy, type UpstreamLife, type WatchedRun } from "../../src/quarantine/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createQuarantine } from "../fixtures/quarantines.js";

const eventMilliseconds = 50;
const silentMilliseconds = 1_200;

/** Creates a watch of upstreams that refuse no connections and show the given life. Each request has a part of its own and one in common. */
function createWatch({ life = "unresponsive" }: { readonly life?: UpstreamLife; } = {}) {
    const clock = new ManualClock(10_000);
    const { journal, lines } = createJournal();
    const quarantine = createQuarantine({ clock }).quarantine;
    const partQuarantine = createQuarantine({ clock, policy: partPolicy }).quarantine;
    const wait = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
    const watch = new CrashWatch({ clock, journal, quarantine, partQuarantine, wait });
    let count = 0;
    const start = (upstream: string): WatchedRun => {
        count += 1;
        const fingerprint = `request-${count}`;
        const request = {
            id: fingerprint,
            isStream: true,
            getFingerprint: () => fingerprint,
            getTraitKeys: () => [fingerprint],
            getPartKeys: () => ["common", `part-${count}`],
        };
        return watch.startRun(request, {
            upstream: {
                id: upstream,
                isRefusingConnections: () => Promise.resolve(life === "ended"),
                getLife: () => Promise.resolve(life),
            },
            isLastAttempt: () => false,
        });
    };
    const settle = async (): Promise<void> => {
        for (let turn = 0; turn < 5; turn += 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const getPoints = (): number => partQuarantine.getPoints(() => "common");
    return { clock, lines, watch, start, settle, getPoints };
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
