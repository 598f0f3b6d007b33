import { expect } from "earl";
import { describe, it } from "node:test";
import type { RunnerChooser } from "../../../src/decisions/placement/index.js";
import {
    countChoices,
    createChooser,
    createPlacement,
    createReport,
    createRequest,
    createVm,
    createVms,
    failTimes,
    version,
} from "./fixtures.js";

function getSubsetIds(chooser: RunnerChooser): readonly string[] {
    return chooser.getSubset().map(vm => vm.id);
}

describe("RunnerChooser", () => {
    describe("choose", () => {
        it("selects only runners that have the version and belong to the pool", () => {
            const vms = [...createVms(4), createVm("other", { pool: "label-app" }), createVm("unknown")];
            const { chooser } = createChooser(vms);
            chooser.setVersions("runner-0", ["wear-small@1"]);
            chooser.setVersions("unknown", []);
            const counts = countChoices(chooser, createRequest({ pool: "lm-pool" }));
            expect([...counts.keys()].sort()).toEqual(["runner-1", "runner-2", "runner-3"]);
        });

        // Callers of a version that is held back get the previous one only if enough runners have it loaded.
        it("counts the runners that have a version and aren't leaving", () => {
            const { chooser } = createChooser(createVms(4));
            chooser.setVersions("runner-0", ["wear-small@1"]);
            chooser.markLeaving("runner-1");
            expect(chooser.countRunners("wear-small@1")).toEqual(1);
            expect(chooser.countRunners(createRequest().version!)).toEqual(2);
            expect(chooser.countRunners("wear-small@9")).toEqual(0);
        });

        it("skips runners on which an attempt was made", () => {
            const { chooser } = createChooser(createVms(3));
            const counts = countChoices(chooser, createRequest({ excluded: new Set(["runner-0", "runner-2"]) }));
            expect([...counts.keys()]).toEqual(["runner-1"]);
        });

        it("fails as unavailable, with a retry time, when no runner has the version", () => {
            const { chooser } = createChooser(createVms(3));
            const failure = chooser.choose(createRequest({ version: "plan-large@4" }))._unsafeUnwrapErr();
            expect(failure.kind).toEqual("unavailable");
            expect(failure.retryAfterMilliseconds! >= 750).toEqual(true);
        });

        // Guards against useless waits. All runners have long queues. A caller with two seconds left would miss its deadline, so it is
        // refused at once; a caller with a minute left is served.
        it("refuses what no runner can answer before its deadline", () => {
            const { chooser } = createChooser(createVms(3));
            for (const index of [0, 1, 2]) {
                chooser.addLoadReport(createReport(`runner-${index}`, { running: 8, waiting: 40 }));
            }
            const refused = chooser.choose(createRequest({ deadlineMilliseconds: 2_000 }))._unsafeUnwrapErr();
            expect(refused.kind).toEqual("overloaded");
            expect(refused.retryAfterMilliseconds! > 2_000).toEqual(true);
            expect(chooser.choose(createRequest()).isOk()).toEqual(true);
        });

        it("prefers the runner with less load", () => {
            const { chooser } = createChooser(createVms(2));
            chooser.addLoadReport(createReport("runner-0", { running: 8, waiting: 6 }));
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });

        it("prefers the runner that holds the prefix, until its queue is long", () => {
            const blocks = [...Array(40).keys()].map(String);
            const { chooser } = createChooser(createVms(30, { failureDomain: "pasig-a" }));
            chooser.addCacheEvents("runner-7", blocks.map(block => ({ kind: "stored", block })), false);
            const cached = chooser.choose(createRequest({ blocks }))._unsafeUnwrap();
            expect([cached.upstream.id, cached.cachedBlocks, cached.reason]).toEqual([
                "runner-7",
                40,
                "cached-prefix",
            ]);
            chooser.addLoadReport(createReport("runner-7", { running: 8, waiting: 30 }));
            expect(chooser.choose(createRequest({ blocks }))._unsafeUnwrap().upstream.id === "runner-7").toEqual(false);
        });

        it("prefers the runner of the session, without a guarantee", () => {
            const { chooser } = createChooser(createVms(30));
            const request = createRequest({ preferred: "runner-3" });
            expect(countChoices(chooser, request).get("runner-3")! > countChoices(chooser).get("runner-3")!)
                .toEqual(true);
            chooser.markLeaving("runner-3");
            expect(countChoices(chooser, request).has("runner-3")).toEqual(false);
        });

        it("does not follow a session or a prefix to a runner that lost the version", () => {
            const { chooser } = createChooser(createVms(3));
            chooser.addCacheEvents("runner-0", [{ kind: "stored", block: "a" }], false);
            chooser.setVersions("runner-0", []);
            const counts = countChoices(chooser, createRequest({ preferred: "runner-0", blocks: ["a"] }));
            expect(counts.has("runner-0")).toEqual(false);
        });

        it("selects a runner of another region only when the own region is full", () => {
            const far = createVm("far", { region: "catania", failureDomain: "hall-mole" });
            const { chooser } = createChooser([...createVms(2), far]);
            expect(countChoices(chooser).has("far")).toEqual(false);
            for (const id of ["runner-0", "runner-1"]) {
                chooser.addLoadReport(createReport(id, { running: 8, waiting: 30 }));
            }
            expect(chooser.choose(createRequest())._unsafeUnwrap().reason).toEqual("spill-over");
        });
    });

    describe("getSubset", () => {
        // Guards against unused runners: with eight entries and subsets of 24 out of 130 runners, a fifth of the runners would be in no
        // subset.
        it("leaves no runner out when there are few entries", () => {
            const entries = [1, 2, 3].map(index => createVm(`entry-${index}`, { role: "entry", pool: "" }));
            const { chooser } = createChooser(createVms(130));
            chooser.setUpstreams([...createVms(130), ...entries]);
            expect(getSubsetIds(chooser).length).toEqual(130);
        });

        it("selects a subset of many runners, at most half of it in the own failure domain", () => {
            const vms = createVms(200).map((vm, index) => ({
                ...vm,
                failureDomain: index % 2 === 0 ? "pasig-a" : "makati",
            }));
            const { chooser } = createChooser(vms, { nearSubsetSize: 10, entriesPerRunner: 0 });
            const subset = getSubsetIds(chooser);
            const own = vms.filter(vm => vm.failureDomain === "pasig-a" && subset.includes(vm.id));
            expect([subset.length, own.length]).toEqual([10, 5]);
        });

        it("changes by one runner when one leaves", () => {
            const { chooser } = createChooser(createVms(200), { nearSubsetSize: 10, entriesPerRunner: 0 });
            const before = getSubsetIds(chooser);
            chooser.markLeaving(before[0]);
            const after = getSubsetIds(chooser);
            expect([after.length, after.filter(id => before.includes(id)).length]).toEqual([10, 9]);
        });
    });

    describe("getOwnCapacity", () => {
        it("returns a share of the region's capacity, including upstreams that have not reported to this entry", () => {
            const vms = [
                ...createVms(10),
                createVm("far", { region: "catania" }),
                createVm("new", { pool: "label-app" }),
            ];
            const { chooser } = createChooser(vms);
            chooser.addLoadReport(createReport("runner-0", { capacity: 4 }));
            chooser.addLoadReport(createReport("runner-1", { capacity: 12 }));
            chooser.addLoadReport(createReport("far", { capacity: 100 }));
            expect(chooser.getOwnCapacity(4, "runner")).toEqual(20);
            chooser.markLeaving("runner-2");
            expect(chooser.getOwnCapacity(4, "runner")).toEqual(18);
        });

        // Guards against adding the capacities of engines and plain services. With full engines and idle services, the services' slots
        // would admit chat requests that wait inside the engines until their first token is late.
        it("counts engines and plain services separately", () => {
            const { chooser } = createChooser([
                createVm("runner-0", {}),
                createVm("app-0", { pool: "label-app", role: "service" }),
            ]);
            chooser.addLoadReport(createReport("runner-0", { capacity: 8 }));
            chooser.addLoadReport(createReport("app-0", { capacity: 16 }));
            expect([chooser.getOwnCapacity(1, "runner"), chooser.getOwnCapacity(1, "service")]).toEqual([8, 16]);
        });
    });

    describe("setUpstreams", () => {
        // Guards against requests to a VM that the platform is about to remove: their answers would be cut off.
        it("sends no new requests to a leaving runner, even if an older list still shows it as live", () => {
            const vms = createVms(3);
            const { chooser } = createChooser(vms);
            chooser.addLoadReport(createReport("runner-1", { leaving: true }));
            chooser.setUpstreams(vms);
            expect(countChoices(chooser).has("runner-1")).toEqual(false);
            chooser.setUpstreams([{ ...vms[0], state: "leaving" }, vms[1], vms[2]]);
            expect([...countChoices(chooser).keys()]).toEqual(["runner-2"]);
        });

        it("keeps the state of runners that stay", () => {
            const vms = createVms(4);
            const { chooser } = createChooser(vms);
            chooser.addLoadReport(createReport("runner-0", { running: 8, waiting: 30 }));
            chooser.setUpstreams(vms.slice(0, 2));
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });
    });

    describe("addLoadReport", () => {
        // Guards against reports that arrive out of order. If the older report replaced the newer one, a burst of requests would go to
        // a runner that was idle a second ago and is full now.
        it("ignores a report that was measured before the last one", () => {
            const { chooser } = createChooser(createVms(2));
            chooser.addLoadReport(createReport("runner-0", { measuredAt: 900, running: 8, waiting: 20 }));
            chooser.addLoadReport(createReport("runner-0", { measuredAt: 500 }));
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });

        it("does not take versions from an outdated report", () => {
            const { chooser } = createChooser(createVms(1));
            chooser.addLoadReport(createReport("runner-0", { measuredAt: 900 }));
            chooser.addLoadReport(createReport("runner-0", { measuredAt: 500, versions: [] }));
            expect(chooser.choose(createRequest()).isOk()).toEqual(true);
        });

        it("does not replace the load of a later answer by a delayed report", () => {
            const vms = createVms(2);
            const { chooser, clock } = createChooser(vms);
            chooser.addLoadReport(createReport("runner-0", { measuredAt: 900 }));
            chooser.addLoadReport(createReport("runner-1", { measuredAt: 900, running: 4 }));
            clock.advance(200);
            const work = chooser.start(createPlacement(vms[0]));
            work.finish({ outcome: "ok", milliseconds: 0, loadHeader: "8/20/8" });
            chooser.addLoadReport(createReport("runner-0", { measuredAt: 950 }));
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });

        it("does not count this entry's own requests twice", () => {
            const vms = createVms(2);
            const { chooser, clock } = createChooser(vms);
            for (let index = 0; index < 4; index += 1) {
                chooser.start(createPlacement(vms[0]));
            }
            clock.advance(10);
            chooser.addLoadReport(createReport("runner-0", { measuredAt: clock.wall(), running: 4 }));
            chooser.addLoadReport(createReport("runner-1", { measuredAt: clock.wall(), running: 6 }));
            // If they were counted twice, runner-0 would have 8 requests and runner-1 6.
            expect([...countChoices(chooser).keys()]).toEqual(["runner-0"]);
        });
    });

    describe("start", () => {
        it("counts requests that the runner has not reported yet", () => {
            const vms = createVms(2);
            const { chooser } = createChooser(vms);
            for (let index = 0; index < 12; index += 1) {
                chooser.start(createPlacement(vms[0]));
            }
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });

        it("counts the end of a request once", () => {
            const vms = createVms(2);
            const { chooser } = createChooser(vms);
            const work = [1, 2, 3].map(() => chooser.start(createPlacement(vms[0])));
            for (let index = 0; index < 3; index += 1) {
                work[0].finish({ outcome: "cancelled", milliseconds: 5 });
            }
            chooser.start(createPlacement(vms[1]));
            // runner-0 still has two requests, not none.
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });

        // Guards against selecting a runner that hangs. It closes no connection and reports no load, and its callers would never get
        // their first token.
        it("avoids an unresponsive runner", () => {
            const vms = createVms(2);
            const { chooser, clock } = createChooser(vms);
            chooser.start(createPlacement(vms[0]));
            clock.advance(4_000);
            chooser.addLoadReport(createReport("runner-1", { measuredAt: clock.wall(), running: 5 }));
            expect([...countChoices(chooser).keys()]).toEqual(["runner-1"]);
        });

        // Guards against trusting a wrong load report. A runner that reports to be idle but answers slowly would get all requests.
        it("avoids a runner that answers slower than its reports imply", () => {
            const vms = createVms(3);
            const { chooser, clock } = createChooser(vms);
            for (let index = 0; index < 6; index += 1) {
                for (const vm of vms) {
                    const work = chooser.start(createPlacement(vm));
                    work.addFirstToken(vm.id === "runner-0" ? 400 : 60);
                    work.finish({ outcome: "ok", milliseconds: 500, loadHeader: "0/0/8" });
                }
                clock.advance(100);
            }
            expect(countChoices(chooser).has("runner-0")).toEqual(false);
        });
    });

    describe("eject", () => {
        // Guards against repeated attempts on a runner whose connections break. Until it is ejected, each attempt there loses time.
        it("ejects a runner after consecutive failures and lets it return gradually", () => {
            const vms = createVms(4);
            const { chooser, clock, lines } = createChooser(vms);
            failTimes(chooser, vms[0], 3);
            expect(lines.map(line => line.name)).toEqual(["upstream-ejected"]);
            expect(countChoices(chooser).has("runner-0")).toEqual(false);
            clock.advance(6_300);
            const returning = countChoices(chooser, createRequest(), 2_000).get("runner-0") ?? 0;
            clock.advance(20_000);
            const returned = countChoices(chooser, createRequest(), 2_000).get("runner-0") ?? 0;
            expect(returning > 0 && returning < 0.7 * returned).toEqual(true);
        });

        it("does not eject for cancelled or refused requests, or for failures that are not consecutive", () => {
            const vms = createVms(4);
            const { chooser } = createChooser(vms);
            for (const outcome of ["failed", "failed", "ok", "failed", "refused", "cancelled", "failed"] as const) {
                chooser.start(createPlacement(vms[0])).finish({ outcome, milliseconds: 60 });
            }
            expect(countChoices(chooser).has("runner-0")).toEqual(true);
        });

        // Guards against an outage by ejections. A fault on the entry's own side makes all runners appear failed; ejecting all of them
        // would make the pool unavailable.
        it("ejects no more than half of a pool", () => {
            const vms = createVms(4);
            const { chooser } = createChooser(vms);
            for (const vm of vms) {
                failTimes(chooser, vm, 3);
            }
            expect([...countChoices(chooser).keys()].sort()).toEqual(["runner-2", "runner-3"]);
        });

        it("selects an ejected runner when no other is left", () => {
            const vms = createVms(2);
            const { chooser } = createChooser(vms);
            expect(chooser.eject("runner-0", "test")).toEqual(true);
            const placement = chooser.choose(createRequest({ excluded: new Set(["runner-1"]) }))._unsafeUnwrap();
            expect([placement.upstream.id, placement.reason]).toEqual(["runner-0", "panic"]);
        });
    });

    describe("addCacheEvents", () => {
        const blocks = [...Array(40).keys()].map(String);
        const stored = blocks.map(block => ({ kind: "stored" as const, block }));

        function getCached(prepare: (chooser: ReturnType<typeof createChooser>["chooser"]) => void): number {
            const { chooser } = createChooser([createVm("runner-0")]);
            chooser.addCacheEvents("runner-0", stored, false);
            prepare(chooser);
            return chooser.choose(createRequest({ version, blocks }))._unsafeUnwrap().cachedBlocks;
        }

        it("removes removed and cleared blocks, and lowers the confidence of the rest after a gap", () => {
            expect(getCached(chooser => chooser.addCacheEvents("runner-0", [{ kind: "removed", block: "39" }], false)))
                .toEqual(39);
            expect(getCached(chooser => chooser.addCacheEvents("runner-0", [{ kind: "cleared", block: "" }], false)))
                .toEqual(0);
            const afterGap = getCached(chooser => chooser.addCacheEvents("runner-0", [], true));
            expect(afterGap > 30 && afterGap < 40).toEqual(true);
        });
    });
});
