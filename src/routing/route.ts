/**
 * Routes map paths to pools of upstreams and define how requests are handled.
 */

/**
 * Defines which requests of a route may be repeated.
 * - `idempotent`: a request may run more than once.
 * - `at-most-once`: a request runs once or not at all.
 * - `stream`: the answer is a stream of events. The request runs at most once unless the route is resumable.
 */
export type RouteKind = "idempotent" | "at-most-once" | "stream";

/** One of the pools that share a route's requests. */
export interface PoolShare {
    readonly pool: string;
    /** Share of the requests, relative to the other pools of the route. */
    readonly weight: number;
}

/** One entry of the route table. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Maximum time until the answer is complete, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Target time to the answer, or to a stream's first event, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** Target for the longest pause between two events of a stream, in milliseconds. */
    readonly pauseObjectiveMilliseconds: number | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly pools: readonly PoolShare[];
    /** Maximum number of upstreams that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    /** Whether a broken stream may be resumed at another runner. */
    readonly isResumable: boolean;
    /** Models that may answer, smallest first. Empty when the caller names the model. */
    readonly models: readonly string[];
}

/** Returns whether a request on a route may run more than once. */
export function isRepeatable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}
