/**
 * Placement policies that are compared with each other: the product's and simple ones.
 */
import type { Clock, RandomSource } from "../common/index.js";
import {
    type PlacementOptions,
    type Poll,
    PollSchedule,
    RunnerChooser,
    type WorkResult,
} from "../decisions/placement/index.js";
import type { LoadReport, Vm } from "../world/index.js";
import type { SimulatedRunner } from "./simulatedRunner.js";
import { getRange } from "./statistics.js";

/** Equals the default of the settings. */
const defaultPollsPerSecond = 16;
/** Time between two rounds of load polls of an entry. */
export const pollRoundMilliseconds = 500;

/**
 * Names of the policies. `perfect` reads the true load and cache of all runners at every moment. No real entry can do
 * this; it is there for comparison.
 */
export type PolicyName = "random" | "round robin" | "least in-flight" | "rattanlock" | "perfect";

/** All policies, in the order of the tables. */
export const policyNames: readonly PolicyName[] = [
    "random",
    "round robin",
    "least in-flight",
    "rattanlock",
    "perfect",
];

/** The data of a request that a policy chooses by. */
export interface PolicyRequest {
    readonly blocks: readonly string[];
    readonly excluded: ReadonlySet<string>;
    readonly deadlineMilliseconds: number;
}

/** A chosen runner, with callbacks for the progress of the request. */
export interface PolicyChoice {
    readonly runner: number;
    readonly reportFirstToken: (milliseconds: number, loadHeader: string) => void;
    readonly reportEnd: (result: WorkResult) => void;
}

/** Placement policy of one entry. */
export interface Policy {
    /** Returns `undefined` when it refuses the request. */
    readonly choose: (request: PolicyRequest) => PolicyChoice | undefined;
    /** Returns the runners to poll now for their load and cache events. */
    readonly takePolls: () => readonly Poll[];
    readonly setListedVms: (vms: readonly Vm[]) => void;
    readonly addReport: (report: LoadReport) => void;
    readonly addCacheEvents: (
        upstream: string,
        events: readonly { readonly kind: "stored" | "removed"; readonly block: string; }[],
        gap: boolean,
    ) => void;
}

/** Options of a placement policy. */
export interface PolicyOptions {
    readonly runners: readonly SimulatedRunner[];
    readonly entry: number;
    /** The number of entries. */
    readonly entries: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Limit on the entry's load polls per second; the default of the settings unless given. */
    readonly pollsPerSecond?: number;
    readonly placement?: Partial<PlacementOptions>;
}

/** Creates the placement policy of one entry. */
export function createPolicy(name: PolicyName, options: PolicyOptions): Policy {
    switch (name) {
        case "random":
            return createSimplePolicy(options, allowed => allowed[options.random.nextInteger(allowed.length)]);
        case "round robin":
            return createRoundRobin(options);
        case "least in-flight":
            return createLeastInFlight(options);
        case "perfect":
            return createOmniscientPolicy(options);
        case "rattanlock":
            return createChooserPolicy(options);
    }
}

/**
 * Creates a policy that picks among the runners that are listed and not excluded by earlier attempts.
 * @param adjustCount - Receives the change of a runner's requests in flight.
 */
function createSimplePolicy(
    options: PolicyOptions,
    pick: (allowed: readonly number[], request: PolicyRequest) => number,
    adjustCount: (runner: number, change: 1 | -1) => void = () => {},
): Policy {
    let listed = new Set(options.runners.map(runner => runner.options.vm.id));
    return {
        choose: request => {
            const allowed: number[] = [];
            for (const [index, runner] of options.runners.entries()) {
                if (listed.has(runner.options.vm.id) && !request.excluded.has(runner.options.vm.id)) {
                    allowed.push(index);
                }
            }
            if (allowed.length === 0) {
                return undefined;
            }
            const runner = pick(allowed, request);
            adjustCount(runner, 1);
            return { runner, reportFirstToken: () => {}, reportEnd: () => adjustCount(runner, -1) };
        },
        setListedVms: vms => {
            listed = new Set(vms.map(vm => vm.id));
        },
        takePolls: () => [],
        addReport: () => {},
        addCacheEvents: () => {},
    };
}

function createRoundRobin(options: PolicyOptions): Policy {
    let next = options.random.nextInteger(options.runners.length);
    return createSimplePolicy(options, allowed => {
        next += 1;
        return allowed[next % allowed.length];
    });
}

function createLeastInFlight(options: PolicyOptions): Policy {
    const inFlight = options.runners.map(() => 0);
    return createSimplePolicy(
        options,
        allowed => {
            const minInFlight = Math.min(...allowed.map(runner => inFlight[runner]));
            const best = allowed.filter(runner => inFlight[runner] === minInFlight);
            return best[options.random.nextInteger(best.length)];
        },
        (runner, change) => {
            inFlight[runner] += change;
        },
    );
}

function createOmniscientPolicy(options: PolicyOptions): Policy {
    const estimateMilliseconds = (index: number, request: PolicyRequest): number => {
        const runner = options.runners[index];
        const { capacity, slowness, prefillMillisecondsPerToken } = runner.options;
        if (runner.getReport() === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const uncached = request.blocks.length - runner.getCachedBlocks(request.blocks);
        const queue = Math.max(0, runner.getLoad() - capacity + 1) * 2_000 / capacity;
        const utilization = Math.min(1, runner.getLoad() / capacity);
        return slowness
            * (queue + (64 + uncached * 128) * prefillMillisecondsPerToken * (1 + utilization / 2) + 20 * utilization);
    };
    return createSimplePolicy(options, (allowed, request) => {
        let best = allowed[0];
        for (const index of allowed) {
            if (estimateMilliseconds(index, request) < estimateMilliseconds(best, request)) {
                best = index;
            }
        }
        return best;
    });
}

function createChooserPolicy(options: PolicyOptions): Policy {
    const chooser = new RunnerChooser({
        self: { failureDomain: `domain-${options.entry % 4}`, region: "region", subsetKey: `entry-${options.entry}` },
        clock: options.clock,
        random: options.random,
        options: options.placement,
    });
    const indexes = new Map(options.runners.map((runner, index) => [runner.options.vm.id, index]));
    const entries = getRange(options.entries).map(createEntry);
    chooser.setUpstreams([...options.runners.map(runner => runner.options.vm), ...entries]);
    for (const runner of options.runners) {
        chooser.setVersions(runner.options.vm.id, [runner.options.version]);
    }
    const { version } = options.runners[0].options;
    const polls = new PollSchedule({
        pollsPerSecond: options.pollsPerSecond ?? defaultPollsPerSecond,
        intervalMilliseconds: pollRoundMilliseconds,
    });
    return {
        choose: request => {
            const chosen = chooser.choose({
                version,
                blocks: request.blocks,
                excluded: request.excluded,
                deadlineMilliseconds: request.deadlineMilliseconds,
            });
            if (chosen.isErr()) {
                return undefined;
            }
            const work = chooser.start(chosen.value);
            return {
                runner: indexes.get(chosen.value.upstream.id) ?? 0,
                reportFirstToken: (milliseconds, header) => {
                    work.addLoad(header);
                    work.addFirstToken(milliseconds);
                },
                reportEnd: end => work.finish(end),
            };
        },
        takePolls: () => {
            const candidates = chooser.getSubset().map(({ id }) => {
                return { id, answeredAt: chooser.getAnsweredAt(id), isPending: false };
            });
            return polls.take(candidates, options.clock.monotonic());
        },
        setListedVms: vms => chooser.setUpstreams([...vms, ...entries]),
        addReport: report => chooser.addLoadReport(report),
        addCacheEvents: (upstream, events, gap) => chooser.addCacheEvents(upstream, events, gap),
    };
}

function createEntry(index: number): Vm {
    return {
        id: `entry-${index}`,
        address: "",
        port: 0,
        role: "entry",
        pool: "",
        failureDomain: `domain-${index % 4}`,
        region: "region",
        state: "live",
    };
}
