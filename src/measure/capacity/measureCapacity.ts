/**
 * Measures the slopes from which the figures in docs/CAPACITY.md are computed.
 */
import type { Report, ReportRow } from "../report.js";
import { fitSlope } from "./slope.js";
import { subjects } from "./subjects.js";

/**
 * Measures all slopes in this process.
 * @param log - Logs a line of progress.
 */
export async function measureCapacity(log: (line: string) => void): Promise<Report> {
    const rows: ReportRow[] = [];
    for (const { name, per, unit, measure } of subjects) {
        log(`${name} ...`);
        const points = await measure();
        const { intercept, slope, standardError } = fitSlope(points);
        const scale = unit === "milliseconds" ? 1000 : 1;
        const shownUnit = unit === "milliseconds" ? "µs" : "bytes";
        rows.push({
            name,
            figures: {
                "per": per,
                "unit": shownUnit,
                "slope": (slope * scale).toPrecision(3),
                "standard error": (standardError * scale).toPrecision(2),
                "at no size": (intercept * scale).toPrecision(3),
                "measured at": points.map(point => `${point.size}: ${(point.value * scale).toPrecision(4)}`).join(", "),
            },
        });
    }
    return { measurement: "capacity", seeds: [], tables: [{ title: "Slopes of state and work", rows }] };
}
