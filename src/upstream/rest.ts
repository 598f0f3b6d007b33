/**
 * Reads for how long an upstream that rejects a request asks its sender to send nothing (RFC 9110, section 10.2.3).
 */

/** Statuses with which an upstream may ask for rest. */
const restStatuses: ReadonlySet<number> = new Set([429, 503]);
const millisecondsPerSecond = 1_000;

/** The parts of an answer's head that concern rest. */
export interface RestHead {
    readonly status: number;
    /** Value of `Retry-After`: seconds, also with a fraction, or a date. */
    readonly retryAfter: string | undefined;
    /** Value of `Date`, the upstream's own time. */
    readonly date: string | undefined;
}

/** What an answer says about rest. */
export type Rest =
    | { readonly kind: "none"; }
    | { readonly kind: "asked"; readonly milliseconds: number; }
    | { readonly kind: "unreadable"; readonly value: string; };

const none: Rest = { kind: "none" };

/**
 * Reads what an answer says about rest. A date is compared with the upstream's own time, since the clocks of machines differ.
 * @param head - The head of the answer.
 * @param wallTime - This machine's wall-clock time, for answers without a time of their own.
 */
export function readRest({ status, retryAfter, date }: RestHead, wallTime: number): Rest {
    if (!restStatuses.has(status) || retryAfter === undefined) {
        return none;
    }
    const value = retryAfter.trim();
    const seconds = value === "" ? Number.NaN : Number(value);
    const milliseconds = Number.isNaN(seconds)
        ? Date.parse(value) - readTime(date, wallTime)
        : seconds * millisecondsPerSecond;
    if (!Number.isFinite(milliseconds) || seconds < 0) {
        return { kind: "unreadable", value: retryAfter };
    }
    return milliseconds > 0 ? { kind: "asked", milliseconds } : none;
}

function readTime(date: string | undefined, wallTime: number): number {
    const time = Date.parse(date ?? "");
    return Number.isNaN(time) ? wallTime : time;
}
