/**
 * What a measurement is asked for and what it gives.
 */

/** What a measurement is asked for. */
export interface MeasurementRequest {
    /** The first seed, or `undefined` for the measurement's own. */
    readonly seed: number | undefined;
    /** How many seeds, or `undefined` for the measurement's own number. */
    readonly seedCount: number | undefined;
    /** Writes progress. */
    readonly log: (line: string) => void;
}

/** A request whose first seed is settled. */
export interface SeededRequest extends MeasurementRequest {
    readonly seed: number;
}

/** What a measurement found. */
export interface MeasurementResult {
    /** For programs. */
    readonly results: unknown;
    /** For people. */
    readonly text: string;
}

/** Runs a measurement. */
export type Measurement = (request: MeasurementRequest) => MeasurementResult | Promise<MeasurementResult>;
