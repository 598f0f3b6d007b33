/**
 * Parser of the `X-Load` header of an answer.
 */

/** Represents the load that an upstream reported with an answer. */
export interface AnsweredLoad {
    /** Running and waiting requests of the upstream. */
    readonly requests: number;
    readonly capacity: number;
}

/**
 * Parses `running/waiting/capacity`.
 * @returns The load, or undefined when the header is malformed: it is external input, which must not corrupt an estimate.
 */
export function parseLoadHeader(header: string): AnsweredLoad | undefined {
    const numbers = header.split("/").map(Number);
    if (numbers.length !== 3 || !numbers.every(number => Number.isFinite(number) && number >= 0)) {
        return undefined;
    }
    const [running, waiting, capacity] = numbers;
    return { requests: running + waiting, capacity };
}
