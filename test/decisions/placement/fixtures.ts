/** Fixtures for the tests of runner selection. */
import { ManualClock, RandomSource } from "../../../src/common/index.js";
import {
    type Placement,
    type PlacementOptions,
    type PlacementRequest,
    RunnerChooser,
} from "../../../src/decisions/placement/index.js";
import type { EventLine } from "../../../src/events/index.js";
import { Journal } from "../../../src/events/index.js";
import type { LoadReport, Vm } from "../../../src/world/index.js";

export const version = "plan-large@3";

export function createVm(id: string, options: Partial<Vm> = {}): Vm {
    return {
        id,
        address: "127.40.1.1",
        port: 8000,
        role: "runner",
        pool: "lm-pool",
        failureDomain: "pasig-a",
        region: "manila",
        state: "live",
        ...options,
    };
}

export function createVms(count: number, options: Partial<Vm> = {}): readonly Vm[] {
    return [...Array(count).keys()].map(index => createVm(`runner-${index}`, options));
}

export function createReport(upstream: string, options: Partial<LoadReport> = {}): LoadReport {
    return {
        upstream,
        measuredAt: 0,
        running: 0,
        waiting: 0,
        capacity: 8,
        versions: [version],
        leaving: false,
        ...options,
    };
}

export function createRequest(options: Partial<PlacementRequest> = {}): PlacementRequest {
    return {
        version,
        blocks: [],
        excluded: new Set(),
        deadlineMilliseconds: 60_000,
        ...options,
    };
}

/** Creates a chooser with runners that all have the version loaded. */
export function createChooser(vms: readonly Vm[], options: Partial<PlacementOptions> = {}) {
    const clock = new ManualClock(1_000);
    const lines: EventLine[] = [];
    const journal = new Journal({ process: "entry-1", clock, write: line => lines.push(line) });
    const chooser = new RunnerChooser({
        self: { failureDomain: "pasig-a", region: "manila", subsetKey: "entry-1" },
        clock,
        random: new RandomSource(1),
        options,
        journal,
    });
    chooser.setUpstreams(vms);
    for (const vm of vms) {
        chooser.setVersions(vm.id, [version]);
    }
    return { chooser, clock, lines };
}

/** Selects a runner many times without sending a request, and counts how often each runner is selected. */
export function countChoices(
    chooser: RunnerChooser,
    request = createRequest(),
    times = 300,
): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (let index = 0; index < times; index += 1) {
        const placement = chooser.choose(request)._unsafeUnwrap();
        counts.set(placement.upstream.id, (counts.get(placement.upstream.id) ?? 0) + 1);
    }
    return counts;
}

/** Creates a placement on a given runner, without selection. */
export function createPlacement(vm: Vm, options: Partial<Placement> = {}): Placement {
    return {
        upstream: vm,
        expectedWaitMilliseconds: 0,
        cachedBlocks: 0,
        reason: "least-wait",
        blocks: [],
        ...options,
    };
}

/** Records a number of consecutive failures of a runner. */
export function failTimes(chooser: RunnerChooser, vm: Vm, times: number): void {
    for (let index = 0; index < times; index += 1) {
        chooser.start(createPlacement(vm)).finish({ outcome: "failed", milliseconds: 3 });
    }
}
