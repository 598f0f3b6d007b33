/**
 * Measures the time and memory that an entry spends on one choice of a runner, by the number of runners.
 */
import { performance } from "node:perf_hooks";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { RandomSource, systemClock } from "../common/index.js";
import { RunnerChooser } from "../decisions/placement/index.js";
import type { Vm } from "../world/index.js";
import { getQuantile, getRange } from "./statistics.js";

const regions = 8;
const domains = 17;
const versions = 11;
const blocksPerRequest = 32;
const warmUpChoices = 20_000;
const timedChoices = 20_000;
const choicesPerHeapSample = 200;
const heapSamples = 21;

/** Cost of one choice at a given number of runners. */
export interface DecisionCost {
    readonly runners: number;
    readonly medianMicroseconds: number;
    readonly microseconds99: number;
    /** Bytes allocated for one choice, including the end of the request. */
    readonly bytes: number;
    /** Bytes that the chooser retains. */
    readonly keptBytes: number;
}

/**
 * Measures the cost of a choice, from `choose` to `finish`.
 * @param runners - The number of runners.
 */
export function measureDecisionCost(runners: number, seed: number): DecisionCost {
    const collectGarbage = getGarbageCollector();
    const vms = createVms(runners);
    collectGarbage();
    const heapBytesBefore = process.memoryUsage().heapUsed;
    const chooser = createChooser(vms, seed);
    collectGarbage();
    const keptBytes = process.memoryUsage().heapUsed - heapBytesBefore;
    const requests = createRequests(seed);
    for (const index of getRange(warmUpChoices)) {
        choose(chooser, requests[index % requests.length]);
    }
    const times = getRange(timedChoices).map(index => {
        const startedAt = performance.now();
        choose(chooser, requests[index % requests.length]);
        return (performance.now() - startedAt) * 1_000;
    });
    const heap = getRange(heapSamples).map(() => {
        collectGarbage();
        const used = process.memoryUsage().heapUsed;
        for (let index = 0; index < choicesPerHeapSample; index += 1) {
            choose(chooser, requests[index % requests.length]);
        }
        return (process.memoryUsage().heapUsed - used) / choicesPerHeapSample;
    });
    return {
        runners,
        medianMicroseconds: getQuantile(times, 0.5),
        microseconds99: getQuantile(times, 0.99),
        bytes: getQuantile(heap, 0.5),
        keptBytes,
    };
}

interface CostRequest {
    readonly version: string;
    readonly blocks: readonly string[];
    readonly excluded: ReadonlySet<string>;
    readonly deadlineMilliseconds: number;
}

function choose(chooser: RunnerChooser, request: CostRequest): void {
    const placement = chooser.choose(request)._unsafeUnwrap();
    const work = chooser.start(placement);
    work.addFirstToken(50);
    work.finish({ outcome: "ok", milliseconds: 500 });
}

function createVms(count: number): readonly Vm[] {
    return getRange(count).map(index => ({
        id: `runner-${index}`,
        address: "",
        port: 0,
        role: "runner",
        pool: "pool",
        failureDomain: `domain-${index % domains}`,
        region: `region-${index % domains % regions}`,
        state: "live",
    }));
}

/** Creates the entries. The caller requests one entry for every six runners, which is the ratio at the target size. */
function createEntries(count: number): readonly Vm[] {
    return createVms(count).map((vm, index) => ({ ...vm, id: `entry-${index}`, role: "entry" }));
}

function createChooser(vms: readonly Vm[], seed: number): RunnerChooser {
    const chooser = new RunnerChooser({
        self: { failureDomain: "domain-0", region: "region-0", subsetKey: "entry-0" },
        clock: systemClock,
        random: new RandomSource(seed),
    });
    chooser.setUpstreams([...vms, ...createEntries(Math.ceil(vms.length / 6))]);
    for (const [index, vm] of vms.entries()) {
        const measured = { measuredAt: 1, running: index % 7, waiting: 0, capacity: 8, leaving: false };
        chooser.addLoadReport({ ...measured, upstream: vm.id, versions: [`model@${index % versions}`] });
    }
    return chooser;
}

/** Creates requests whose prompts are partly cached by the runners, so that the prefix table is searched to the end. */
function createRequests(seed: number): readonly CostRequest[] {
    const random = new RandomSource(seed);
    return getRange(500).map(index => ({
        version: `model@${index % versions}`,
        blocks: getRange(blocksPerRequest).map(block => `block-${random.nextInteger(2_000)}-${block}`),
        excluded: new Set<string>(),
        deadlineMilliseconds: 1_000_000,
    }));
}

/** Returns Node's garbage collector, which Node exposes only with the flag `--expose-gc`. */
function getGarbageCollector(): () => void {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
}
