/**
 * Compares the repeats that reach the runners of a site with those that its nodes may send together.
 */

const windowMilliseconds = 10_000;
/** Distance between the starts of two windows that are checked. */
const windowStepMilliseconds = 250;

/** A request, as its caller sent it or a runner received it. */
export interface TimedRequest {
    readonly id: string;
    /** Milliseconds since the start of the load. */
    readonly at: number;
}

/** The retries that all nodes together may send in a window: for each request, and beside these. */
export interface RetryAllowance {
    readonly ratio: number;
    readonly extra: number;
}

/** The repeats that reached the runners in one window, and those that are allowed. */
export interface RetryWindow {
    /** Start of the window since the start of the load, in milliseconds. */
    readonly from: number;
    readonly repeats: number;
    readonly allowed: number;
}

/** The requests of a window, of the one that began half a window earlier, and of the one before it. */
export interface PayingRequests {
    readonly own: number;
    readonly halfEarlier: number;
    readonly before: number;
}

/** Returns the arrivals beyond the first of each request. */
export function findRepeats(arrivals: readonly TimedRequest[]): readonly TimedRequest[] {
    const seen = new Set<string>();
    return arrivals.filter(({ id }) => seen.size === seen.add(id).size);
}

/**
 * Returns all windows. The requests that pay for the retries of a window are those of this one, of the one before it or of the one half a
 * window before it, whichever has most.
 * @param sent - What callers sent.
 * @param repeats - The arrivals beyond the first of each request.
 * @param allowance - The retries that are allowed.
 */
export function findWindows(
    sent: readonly TimedRequest[],
    repeats: readonly TimedRequest[],
    { ratio, extra }: RetryAllowance,
): readonly RetryWindow[] {
    const windows: RetryWindow[] = [];
    const end = Math.max(...sent.map(({ at }) => at), ...repeats.map(({ at }) => at));
    for (let from = -windowMilliseconds; from < end; from += windowStepMilliseconds) {
        const { own, halfEarlier, before } = countPaying(sent, from);
        windows.push({
            from,
            repeats: countWithin(repeats, from),
            allowed: Math.floor(ratio * Math.max(own, halfEarlier, before) + extra),
        });
    }
    return windows;
}

/** Counts the requests that may pay for the retries of a window. */
export function countPaying(sent: readonly TimedRequest[], from: number): PayingRequests {
    return {
        own: countWithin(sent, from),
        halfEarlier: countWithin(sent, from - windowMilliseconds / 2),
        before: countWithin(sent, from - windowMilliseconds),
    };
}

/** Counts the requests of a window. */
export function countWithin(requests: readonly TimedRequest[], from: number): number {
    return requests.filter(({ at }) => at >= from && at < from + windowMilliseconds).length;
}
