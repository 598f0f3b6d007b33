/** Measures the exposure of callers to bad versions. */
import type { MeasurementRequest } from "../main.js";
import type { Report } from "../report.js";

export function measureExposure(request: MeasurementRequest): Report {
    return { measurement: "Exposure", seeds: [request.seed], tables: [] };
}
