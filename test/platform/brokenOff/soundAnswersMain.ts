/**
 * Measures what sound answers without a framing pay beside framed ones: how many are cut, how long they take, and how often runners are
 * asked. Usage: soundAnswersMain.js ANSWERS [RESTART_MILLISECONDS]
 * With the second argument a runner crashes, after its answers have ended in order, and is back at once, each so many milliseconds.
 */
import type { Framing } from "../standins/framedRunner.js";
import { type FramedRoute, FramedSite } from "./framedSite.js";

const concurrency = 16;
const routes: readonly FramedRoute[] = ["booking", "call", "single", "stream"];
const downMilliseconds = 200;

interface Measured {
    readonly answers: number;
    readonly cut: number;
    readonly runs: number;
    readonly medianMilliseconds: number;
    readonly highMilliseconds: number;
}

const [, , total, restartMilliseconds] = process.argv;
const answersOfCase = Number(total) / routes.length;
const site = new FramedSite("127.72.138");
await site.start(1);
const [node] = site.site.nodes;

async function measure(route: FramedRoute, framing: Framing): Promise<Measured> {
    const times: number[] = [];
    let cut = 0;
    let runs = 0;
    let left = answersOfCase;
    const send = async (): Promise<void> => {
        while (left > 0) {
            left -= 1;
            const startedAt = performance.now();
            const head = route === "booking" || route === "call" ? "json" as const : "typed" as const;
            const result = await site.send({ node, route, answers: [{ framing, head }] });
            times.push(performance.now() - startedAt);
            runs += result.runs;
            cut += result.seen.status === 200 && result.seen.end === "whole" ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: concurrency }, send));
    times.sort((first, second) => first - second);
    const at = (share: number): number => Math.round(times[Math.floor(times.length * share)] * 10) / 10;
    return { answers: times.length, cut, runs, medianMilliseconds: at(0.5), highMilliseconds: at(0.95) };
}

/** Crashes the runners in turn. An idle crash ends no answer that has not ended. */
const restarts = restartMilliseconds === undefined
    ? undefined
    : setInterval(() => site.runners.crashNext(downMilliseconds), Number(restartMilliseconds));
for (const route of routes) {
    for (const framing of ["chunks", "none"] as const) {
        console.log(route, framing, JSON.stringify(await measure(route, framing)));
    }
}
clearInterval(restarts);
const metrics = await site.site.getMetrics(node);
console.log(metrics.split("\n").filter(line => line.startsWith("rattanlock_liveness_checks_total")).join("\n"));
await site.stop();
