/**
 * Runs a measurement: `npm run measure -- NAME [--seed N] [--seeds COUNT] [--json]`.
 */
import { parseArgs } from "node:util";
import { measureCapacity } from "./capacity/measureCapacity.js";
import { measureControl } from "./capacity/measureControl.js";
import { measureCost } from "./cost/measureCost.js";
import { measureEntry } from "./entry/measureEntry.js";
import { measureExposure, measureFalseHalts } from "./exposure/measureExposure.js";
import { formatGossip, measureGossip } from "./gossipTraffic.js";
import { formatLimits, measureLimits } from "./limits.js";
import { firstReportingSeed, formatCosts, formatLoad, measureCosts, measureLoad } from "./load.js";
import type { Measurement, MeasurementRequest, MeasurementResult, SeededRequest } from "./measurement.js";
import { measureOrders } from "./orders.js";
import { formatReport, type Report } from "./report.js";
import { measureSite } from "./site/measureSite.js";

/** Measurements by the name given on the command line. */
const measurements: Readonly<Record<string, Measurement>> = {
    capacity: async ({ log }) => toMeasurementResult(await measureCapacity(log)),
    control: async ({ log }) => toMeasurementResult(await measureControl(log)),
    cost: async request => toMeasurementResult(await measureCost(withSeed(request))),
    entry: async ({ log }) => toMeasurementResult(await measureEntry(log)),
    exposure: async request => toMeasurementResult(await measureExposure(withSeed(request))),
    "false-halts": async request => toMeasurementResult(await measureFalseHalts(withSeed(request))),
    load: ({ seed = firstReportingSeed }) => {
        const costs = measureCosts(seed);
        const results = measureLoad(seed);
        return { results: { costs, results }, text: `${formatCosts(costs)}\n\n${formatLoad(results)}` };
    },
    gossip: async ({ seed = firstReportingSeed }) => {
        const results = await measureGossip(seed);
        return { results, text: formatGossip(results) };
    },
    limits: ({ seed = firstReportingSeed }) => {
        const results = measureLimits(seed);
        return { results, text: formatLimits(results) };
    },
    orders: request => toMeasurementResult(measureOrders(withSeed(request))),
    site: async request => toMeasurementResult(await measureSite(withSeed(request))),
};

function withSeed(request: MeasurementRequest): SeededRequest {
    return { ...request, seed: request.seed ?? 1 };
}

function toMeasurementResult(report: Report): MeasurementResult {
    return { results: report, text: formatReport(report) };
}

function toNumber(text: string | undefined): number | undefined {
    return text === undefined ? undefined : Number(text);
}

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { seed: { type: "string" }, seeds: { type: "string" }, json: { type: "boolean" } },
});
const measurement = measurements[positionals[0] ?? ""];
if (measurement === undefined) {
    console.error(`Expected the name of a measurement: ${Object.keys(measurements).join(", ")}.`);
    process.exit(1);
}
const { results, text } = await measurement({
    seed: toNumber(values.seed),
    seedCount: toNumber(values.seeds),
    log: line => console.error(line),
});
console.log(values.json === true ? JSON.stringify(results, undefined, 4) : text);
