/**
 * Defines the exit codes of operators' commands.
 */

/** The exit codes of commands. */
export const exitCodes = {
    done: 0,
    /** The change was refused, or superseded by another one. */
    refused: 1,
    /** The input is invalid. */
    badInput: 2,
    /** The platform is unavailable, or the outcome of the change is unknown. */
    platformUnavailable: 3,
} as const;
