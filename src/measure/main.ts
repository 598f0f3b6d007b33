/**
 * `npm run measure -- NAME [--seed N] [--json]`: runs one measurement of the decisions.
 */
import { parseArgs } from "node:util";
import { formatGossip, measureGossip } from "./gossipTraffic.js";
import { formatLimits, measureLimits } from "./limits.js";
import { firstReportingSeed, formatCosts, formatLoad, measureCosts, measureLoad } from "./load.js";

interface MeasurementReport {
    readonly results: unknown;
    readonly text: string;
}

interface Measurement {
    readonly run: (seed: number) => MeasurementReport | Promise<MeasurementReport>;
}

const measurements: ReadonlyMap<string, Measurement> = new Map<string, Measurement>([
    ["load", {
        run: (seed: number) => {
            const costs = measureCosts(seed);
            const results = measureLoad(seed);
            return { results: { costs, results }, text: `${formatCosts(costs)}\n\n${formatLoad(results)}` };
        },
    }],
    ["limits", {
        run: (seed: number) => {
            const results = measureLimits(seed);
            return { results, text: formatLimits(results) };
        },
    }],
    ["gossip", {
        run: async (seed: number) => {
            const results = await measureGossip(seed);
            return { results, text: formatGossip(results) };
        },
    }],
]);

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { seed: { type: "string" }, json: { type: "boolean" } },
});
const measurement = measurements.get(positionals[0] ?? "");
if (measurement === undefined) {
    console.error(`Name a measurement: ${[...measurements.keys()].join(", ")}.`);
    process.exitCode = 1;
}
else {
    const { results, text } = await measurement.run(Number(values.seed ?? firstReportingSeed));
    console.log(values.json === true ? JSON.stringify(results, undefined, 2) : text);
}
