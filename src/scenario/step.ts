/**
 * Steps of a scenario and their syntax.
 */

/** A parsed line of a scenario. */
export interface Step {
    /** Line number, from 1. */
    readonly line: number;
    /** The line as written. */
    readonly text: string;
    readonly verb: string;
    /** Words after the verb that are not `key=value` options. */
    readonly words: readonly string[];
    readonly options: ReadonlyMap<string, string>;
}

/** Syntax of the lines with a certain verb. */
export interface StepSyntax {
    /** The line with placeholders in capitals, as shown in error messages. */
    readonly usage: string;
    readonly minWords: number;
    readonly maxWords: number;
    /** Allowed option keys; with `any`, the step itself checks the keys. */
    readonly options: readonly string[] | "any";
    /** Required option keys. */
    readonly required?: readonly string[];
}
