/** Measures the exposure of callers to bad versions. */
import type { SeededRequest } from "../measurement.js";
import type { Report } from "../report.js";

export function measureExposure(request: SeededRequest): Report {
    return { measurement: "Exposure", seeds: [request.seed], tables: [] };
}
