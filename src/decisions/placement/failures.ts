/**
 * Failures of the selection of a runner.
 */
import { Failure } from "../../common/index.js";
import type { Placement, PlacementRequest } from "./placement.js";

/** Creates the failure for a request that no upstream serves. */
export function createUnavailable(request: PlacementRequest, retryAfterMilliseconds: number): Failure {
    const requested = request.version ?? request.pool ?? "any version";
    return new Failure({
        kind: "unavailable",
        message: `No upstream currently serves ${requested}.`,
        remedy: "Retry after the given time. If the failure persists, load the version on a runner or add upstreams.",
        retryAfterMilliseconds,
    });
}

/** Creates the failure for a request that no upstream can answer before its deadline. */
export function createOverloaded(placement: Placement, retryAfterMilliseconds: number): Failure {
    const wait = Math.round(placement.expectedWaitMilliseconds);
    return new Failure({
        kind: "overloaded",
        message: `The best upstream would return the first token after ${wait} ms, past the deadline.`,
        remedy: "Retry after the given time, allow a longer deadline, or add upstreams.",
        retryAfterMilliseconds,
    });
}
