import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import { RestLimit } from "../../../src/decisions/index.js";
import { RunnerChooser } from "../../../src/decisions/placement/index.js";
import type { Vm } from "../../../src/world/index.js";
import { createReport, createRequest, createVms } from "./fixtures.js";

function createChooser(count: number) {
    const clock = new ManualClock(1_000);
    const random = new RandomSource(7);
    const restEnds = new Map<string, number>();
    const restLimit = new RestLimit<Vm>({ clock, random, getRestEnd: ({ id }) => restEnds.get(id) });
    const chooser = new RunnerChooser({
        self: { failureDomain: "pasig-a", region: "manila", subsetKey: "entry-1" },
        clock,
        random,
        restLimit,
    });
    const list = (): void => {
        const vms = createVms(count);
        chooser.setUpstreams(vms);
        for (const { id } of vms) {
            chooser.addLoadReport(createReport(id));
        }
    };
    const chooseAll = (): ReadonlySet<string> => {
        const chosen = new Set<string>();
        for (let index = 0; index < 50; index += 1) {
            const placed = chooser.choose(createRequest());
            if (placed.isOk()) {
                chosen.add(placed.value.upstream.id);
            }
        }
        return chosen;
    };
    return { clock, chooser, restEnds, list, chooseAll };
}

describe("runners that have announced something", () => {
    // Guards against a runner that other entries have reported as leaving before the list of VMs shows it at all.
    it("gets no requests if it is listed after it was reported as leaving", () => {
        const { chooser, list, chooseAll } = createChooser(2);
        chooser.markLeaving("runner-0");
        list();
        expect([...chooseAll()]).toEqual(["runner-1"]);
    });

    it("gets no requests while it rests, also when it is the only one, and some afterwards", () => {
        const { clock, chooser, restEnds, list, chooseAll } = createChooser(1);
        list();
        restEnds.set("runner-0", clock.monotonic() + 2_000);
        expect([...chooseAll()]).toEqual([]);
        const refusal = chooser.choose(createRequest())._unsafeUnwrapErr();
        expect(refusal.retryAfterMilliseconds ?? 0).toBeGreaterThan(2_000);
        clock.advance(3_000);
        expect([...chooseAll()]).toEqual(["runner-0"]);
    });
});
