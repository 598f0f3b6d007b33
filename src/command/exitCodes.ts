/**
 * Exit codes of operators' commands.
 */

/** What a command's exit code says. */
export const exitCodes = {
    done: 0,
    /** The change was refused or beaten by another one. */
    refused: 1,
    /** The input cannot be used. */
    badInput: 2,
    /** The platform does not answer, or it is unknown what became of the change. */
    platformUnavailable: 3,
} as const;
