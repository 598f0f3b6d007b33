/**
 * Runs a measurement: `npm run measure -- NAME [--seed N] [--seeds COUNT] [--json]`.
 */
import { parseArgs } from "node:util";
import { measureCost } from "./cost/measureCost.js";
import { measureExposure, measureFalseHalts } from "./exposure/measureExposure.js";
import { formatReport, type Report } from "./report.js";

/** What a measurement is asked for. */
export interface MeasurementRequest {
    /** The first seed. */
    readonly seed: number;
    /** How many seeds, or `undefined` for the measurement's own number. */
    readonly seedCount: number | undefined;
    /** Writes progress. */
    readonly log: (line: string) => void;
}

/** A measurement by name; add a line here for each new one. */
const measurements: Readonly<Record<string, (request: MeasurementRequest) => Report | Promise<Report>>> = {
    "cost": measureCost,
    "exposure": measureExposure,
    "false-halts": measureFalseHalts,
};

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { seed: { type: "string" }, seeds: { type: "string" }, json: { type: "boolean" } },
});
const measure = measurements[positionals[0] ?? ""];
if (measure === undefined) {
    console.error(`Give the name of a measurement: ${Object.keys(measurements).join(", ")}.`);
    process.exit(1);
}
const report = await measure({
    seed: Number(values.seed ?? 1),
    seedCount: values.seeds === undefined ? undefined : Number(values.seeds),
    log: line => console.error(line),
});
console.log(values.json === true ? JSON.stringify(report, undefined, 4) : formatReport(report));
