/**
 * The `X-Load` header of an answer.
 */

/** Load that came with an answer. */
export interface AnsweredLoad {
    /** Requests that the upstream has, running and waiting. */
    readonly requests: number;
    readonly capacity: number;
}

/**
 * Reads `running/waiting/capacity`.
 * @returns Nothing when the header is not of this form: it comes from outside, and a bad one must not spoil an estimate.
 */
export function parseLoadHeader(header: string): AnsweredLoad | undefined {
    const numbers = header.split("/").map(Number);
    if (numbers.length !== 3 || !numbers.every(number => Number.isFinite(number) && number >= 0)) {
        return undefined;
    }
    const [running, waiting, capacity] = numbers;
    return { requests: running + waiting, capacity };
}
