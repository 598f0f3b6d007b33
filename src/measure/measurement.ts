/**
 * Requests and results of measurements.
 */

/** Parameters of a measurement. */
export interface MeasurementRequest {
    /** The first seed, or `undefined` for the measurement's default. */
    readonly seed: number | undefined;
    /** The number of seeds, or `undefined` for the measurement's default. */
    readonly seedCount: number | undefined;
    /** Logs a line of progress. */
    readonly log: (line: string) => void;
}

/** A measurement request whose first seed is set. */
export interface SeededRequest extends MeasurementRequest {
    readonly seed: number;
}

/** The result of a measurement. */
export interface MeasurementResult {
    /** Machine-readable results, printed with `--json`. */
    readonly results: unknown;
    /** Human-readable tables. */
    readonly text: string;
}

/** Runs a measurement. */
export type Measurement = (request: MeasurementRequest) => MeasurementResult | Promise<MeasurementResult>;
