/**
 * What is done to nodes while all runners fail every request.
 */
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../src/common/index.js";
import type { FailureWay, RetryStorm, StormOptions } from "./retryStorm.js";

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
/** Requests a second of drawn storms, and the longest time between two of their disturbances. */
const minDrawnRate = 8;
const maxDrawnRate = 40;
const maxDrawnPauseMilliseconds = 1_500;
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
    { name: "all paused", way: "reset", requestsPerSecond: 8, disturb: pauseAll },
    { name: "all paused", way: "reset", requestsPerSecond: 20, disturb: pauseAll },
    { name: "all paused", way: "reset", requestsPerSecond: 40, disturb: pauseAll },
];

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
