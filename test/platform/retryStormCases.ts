/**
 * What is done to nodes while all runners fail every request.
 */
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../src/common/index.js";
import type { RetryStorm, StormOptions } from "./retryStorm.js";
import { type FailureWay, failureWays } from "./stormRunners.js";
import { siteWithModels } from "./stormSite.js";

/** A storm with a name. */
export type StormCase = Omit<StormOptions, "milliseconds"> & { readonly name: string; };

type Disturbance = NonNullable<StormOptions["disturb"]>;

/** Time after which all nodes are killed, once or again and again. */
const killMilliseconds = 3_000;
const killInTurnMilliseconds = 1_200;
const halvesMilliseconds = 2_500;
const pauseMilliseconds = 4_000;
const betweenPausesMilliseconds = 2_500;
const cutMilliseconds = 4_000;
const addMilliseconds = 2_000;
const addedNodes = 4;
/** Requests a second of drawn storms, and the longest time between two of their disturbances. */
const minDrawnRate = 8;
const maxDrawnRate = 40;
const maxDrawnPauseMilliseconds = 1_500;
/** Times between two changes of what a mixed storm draws, and the longest storm for which they are drawn. */
const minStepMilliseconds = 1_500;
const maxStepMilliseconds = 9_000;
const maxStormMilliseconds = 120_000;
/** Requests a second of moving storms, and their loads in a burst and between two, as factors of it. */
const movingRate = 20;
const burstLoad = 2;
const pauseLoad = 0.1;
/** Loads of mixed storms, as factors of the usual one. */
const drawnLoads = [0.1, 0.5, 1, 1, 2];
/** One mixed storm in so many leaves the nodes alone. */
const undisturbedInterval = 3;
/** Small seeds alone would all draw the same first numbers. */
const seedFactor = 48_271;
/** Kinds of disturbances; kills are drawn for the last ones. */
const drawnKinds = 7;

const killAll = repeat(killMilliseconds, storm => storm.restart(storm.getNodes()));
const killOnce = afterPause(killMilliseconds, storm => storm.restart(storm.getNodes()));
const killInTurn = repeat(killInTurnMilliseconds, (storm, count) => storm.restart(getNode(storm, count)));
const killHalves = repeat(halvesMilliseconds, (storm, count) => {
    const half = storm.getNodes().length / 2;
    return storm.restart(count % 2 === 0 ? storm.getNodes(0, half) : storm.getNodes(half));
});
const stopInTurn = repeat(0, (storm, count) => storm.restart(getNode(storm, count), "SIGTERM"));
const pauseAll = repeat(betweenPausesMilliseconds, storm => storm.pause(storm.getNodes(), pauseMilliseconds));
const pauseInTurn = repeat(0, (storm, count) => storm.pause(getNode(storm, count), halvesMilliseconds));
const cutHalf = repeat(cutMilliseconds, async storm => {
    const nodes = storm.getNodes(0, storm.getNodes().length / 2);
    storm.setCut(nodes, "silent");
    await sleep(cutMilliseconds);
    storm.setCut(nodes, "none");
});

const addAndRemove = repeat(
    addMilliseconds,
    (storm, count) => count % 2 === 0 ? storm.add(addedNodes) : storm.remove(addedNodes),
);

/** All storms. */
export const stormCases: readonly StormCase[] = [
    { name: "left alone", way: "reset", requestsPerSecond: 8 },
    { name: "left alone", way: "reset", requestsPerSecond: 40 },
    { name: "left alone", way: "broken-off", requestsPerSecond: 20 },
    { name: "each stopped in turn", way: "reset", requestsPerSecond: 8, disturb: stopInTurn },
    { name: "each paused in turn", way: "reset", requestsPerSecond: 20, disturb: pauseInTurn },
    { name: "half cut off from the runners", way: "reset", requestsPerSecond: 20, disturb: cutHalf },
    { name: "killed in turn", way: "reset", requestsPerSecond: 8, disturb: killInTurn },
    { name: "killed in turn", way: "broken-off", requestsPerSecond: 8, disturb: killInTurn },
    { name: "killed in turn", way: "error", requestsPerSecond: 8, disturb: killInTurn },
    { name: "killed in turn", way: "silent", requestsPerSecond: 8, disturb: killInTurn },
    { name: "killed in turn", way: "broken-event", requestsPerSecond: 8, disturb: killInTurn },
    { name: "all killed once", way: "reset", requestsPerSecond: 8, disturb: killOnce },
    { name: "all killed once", way: "reset", requestsPerSecond: 40, disturb: killOnce },
    { name: "all killed again and again", way: "reset", requestsPerSecond: 8, disturb: killAll },
    { name: "all killed again and again", way: "error", requestsPerSecond: 8, disturb: killAll },
    { name: "all killed again and again", way: "reset", requestsPerSecond: 40, disturb: killAll },
    { name: "halves killed in turn", way: "reset", requestsPerSecond: 8, disturb: killHalves },
    { name: "nodes added and removed", way: "reset", requestsPerSecond: 8, disturb: addAndRemove },
    { name: "nodes added and removed", way: "reset", requestsPerSecond: 40, disturb: addAndRemove },
    { name: "all paused", way: "reset", requestsPerSecond: 8, disturb: pauseAll },
    { name: "all paused", way: "reset", requestsPerSecond: 20, disturb: pauseAll },
    { name: "all paused", way: "reset", requestsPerSecond: 40, disturb: pauseAll },
];

/** Times after which bursts begin and end, and after which callers move. */
export interface MovingOptions {
    readonly burstMilliseconds: number;
    readonly moveMilliseconds: number;
}

/** The moving storms. */
export const movingCases: readonly MovingOptions[] = [
    { burstMilliseconds: 10_000, moveMilliseconds: 5_000 },
    { burstMilliseconds: 5_000, moveMilliseconds: 3_000 },
];

/** Creates a storm in which streams last before they fail, load comes in bursts, and callers move from some nodes to the others. */
export function createMovingCase({ burstMilliseconds, moveMilliseconds }: MovingOptions): StormCase {
    const half = siteWithModels.nodeCount / 2;
    return {
        name: `moving, bursts of ${burstMilliseconds}, moves of ${moveMilliseconds}`,
        way: "late-reset",
        requestsPerSecond: movingRate,
        getLoad: at => Math.floor(at / burstMilliseconds) % 2 === 0 ? burstLoad : pauseLoad,
        chooseNode: (count, at) => (Math.floor(at / moveMilliseconds) % 2) * half + count % half,
        kinds: ["prompt"],
    };
}

/** Creates a storm in which processes are killed, stopped and paused, and the store and the runners are away, in an order drawn from a seed. */
export function createDrawnCase(seed: number): StormCase {
    const random = new RandomSource(seed * seedFactor);
    const ways: readonly FailureWay[] = ["reset", "broken-off", "broken-event", "error"];
    return {
        name: `drawn ${seed}`,
        way: ways[seed % ways.length],
        requestsPerSecond: minDrawnRate + random.nextInteger(maxDrawnRate - minDrawnRate),
        disturb: repeat(0, async storm => {
            await sleep(random.nextInteger(maxDrawnPauseMilliseconds));
            const from = random.nextInteger(storm.getNodes().length);
            const nodes = storm.getNodes(from, from + 1 + random.nextInteger(storm.getNodes().length - from));
            const milliseconds = random.nextInteger(pauseMilliseconds);
            await drawDisturbance(storm, nodes, milliseconds, random.nextInteger(drawnKinds));
        }),
    };
}

/**
 * Creates a storm in which also the ways in which runners answer change, the load rises and falls, and callers move from some nodes to others.
 */
export function createMixedCase(seed: number): StormCase {
    const drawn = createDrawnCase(seed);
    const random = new RandomSource(seed * seedFactor + 1);
    const ways = drawSteps(random, () => failureWays[random.nextInteger(failureWays.length)]);
    const loads = drawSteps(random, () => drawnLoads[random.nextInteger(drawnLoads.length)]);
    const { nodeCount } = siteWithModels;
    const moves = drawSteps(
        random,
        () => ({ from: random.nextInteger(nodeCount), count: 1 + random.nextInteger(nodeCount) }),
    );
    return {
        ...drawn,
        name: `mixed ${seed}`,
        disturb: seed % undisturbedInterval === 0 ? undefined : drawn.disturb,
        getWay: ways,
        getLoad: loads,
        chooseNode: (count, at) => moves(at).from + count % moves(at).count,
        kinds: ["call", "stream", "prompt"],
    };
}

/** Draws what changes every few seconds. */
function drawSteps<T>(random: RandomSource, drawStep: () => T): (milliseconds: number) => T {
    const steps: { readonly until: number; readonly value: T; }[] = [];
    for (let until = 0; until < maxStormMilliseconds;) {
        until += minStepMilliseconds + random.nextInteger(maxStepMilliseconds - minStepMilliseconds);
        steps.push({ until, value: drawStep() });
    }
    return milliseconds => (steps.find(({ until }) => milliseconds < until) ?? steps[steps.length - 1]).value;
}

async function drawDisturbance(
    storm: RetryStorm,
    nodes: ReturnType<RetryStorm["getNodes"]>,
    milliseconds: number,
    kind: number,
): Promise<void> {
    if (kind === 0) {
        storm.store.fault = "silent";
        await sleep(milliseconds);
        storm.store.fault = "well";
    }
    else if (kind === 1) {
        storm.setCut(nodes, "reset");
        await sleep(milliseconds);
        storm.setCut(nodes, "none");
    }
    else if (kind === 2) {
        await storm.restart(nodes.slice(0, 1), "SIGTERM");
    }
    else if (kind === 3) {
        await storm.pause(nodes, milliseconds);
    }
    else {
        await storm.restart(nodes);
    }
}

/** Returns the storm with a name, a way in which runners fail, and a rate. */
export function getCaseOrThrow(name: string, way: string, requestsPerSecond: number): StormCase {
    for (const stormCase of stormCases) {
        if (stormCase.name === name && stormCase.way === way && stormCase.requestsPerSecond === requestsPerSecond) {
            return stormCase;
        }
    }
    throw new Error(`There is no storm "${name}" with ${way} at ${requestsPerSecond} a second: add it to stormCases.`);
}

/** Creates a disturbance that is repeated, with a pause before each time. */
function repeat(pause: number, run: (storm: RetryStorm, count: number) => Promise<void>): Disturbance {
    return async (storm, signal) => {
        const aborted = once(signal, "abort");
        for (let count = 0;; count += 1) {
            await Promise.race([sleep(pause), aborted]);
            if (signal.aborted) {
                return;
            }
            await run(storm, count);
        }
    };
}

/** Creates a disturbance that happens once, after a pause. */
function afterPause(pause: number, run: (storm: RetryStorm) => Promise<void>): Disturbance {
    return async storm => {
        await sleep(pause);
        await run(storm);
    };
}

function getNode(storm: RetryStorm, count: number): ReturnType<RetryStorm["getNodes"]> {
    const index = count % storm.getNodes().length;
    return storm.getNodes(index, index + 1);
}
