/**
 * Routes: which upstream pool serves a path, and what may be done with a request on it.
 */

/**
 * What may be repeated on a route.
 * - `idempotent`: a request may run more than once.
 * - `at-most-once`: a request runs once or not at all.
 * - `stream`: the answer is a stream of events; it runs at most once unless the route is resumable.
 */
export type RouteKind = "idempotent" | "at-most-once" | "stream";

/** One of the pools that share a route's requests. */
export interface PoolShare {
    readonly pool: string;
    /** Its part of the requests, relative to the other pools of the route. */
    readonly weight: number;
}

/** One entry of the route table. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time that a caller is kept waiting for the whole answer, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Time to the answer, or to a stream's first event, within which an answer is on time, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** Longest pause between two events with which a stream is still on time, in milliseconds. */
    readonly pauseObjectiveMilliseconds: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly pools: readonly PoolShare[];
    /** Runners that one request may be sent to, at most. */
    readonly maxAttempts: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Whether a broken stream may go on at another runner. */
    readonly isResumable: boolean;
    /** Models that may answer, smallest first; empty when the caller names the model. */
    readonly models: readonly string[];
}

/** Tells whether a request on a route may run more than once. */
export function isRepeatable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}
