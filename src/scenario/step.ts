/**
 * One step of a scenario.
 */

/** A line of a scenario, split up. */
export interface Step {
    /** Number of the line, from 1. */
    readonly line: number;
    /** The line as written. */
    readonly text: string;
    readonly verb: string;
    /** Words after the verb that are no `key=value`. */
    readonly words: readonly string[];
    readonly options: ReadonlyMap<string, string>;
}

/** What a line of a verb looks like. */
export interface StepSyntax {
    /** The line with its parts in capitals, as an error shows it. */
    readonly usage: string;
    readonly minWords: number;
    readonly maxWords: number;
    /** Keys that may be given; `any` leaves them to the step. */
    readonly options: readonly string[] | "any";
    /** Keys that must be given. */
    readonly required?: readonly string[];
}
