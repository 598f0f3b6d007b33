/**
 * The refusals of the choice of a runner.
 */
import { Failure } from "../../common/index.js";
import type { Placement, PlacementRequest } from "./placement.js";

/** Says that nobody serves what is asked for. */
export function createUnavailable(request: PlacementRequest, retryAfterMilliseconds: number): Failure {
    const requested = request.version ?? request.pool ?? "any version";
    return new Failure({
        kind: "unavailable",
        message: `No upstream serves ${requested} now.`,
        remedy: "Come back after the given time; if it lasts, load the version on a runner or add upstreams.",
        retryAfterMilliseconds,
    });
}

/** Says that nobody can answer before the deadline. */
export function createOverloaded(placement: Placement, retryAfterMilliseconds: number): Failure {
    const wait = Math.round(placement.expectedWaitMilliseconds);
    return new Failure({
        kind: "overloaded",
        message: `The best upstream would give the first token after ${wait} ms, past the deadline.`,
        remedy: "Come back after the given time, allow a longer deadline, or add upstreams.",
        retryAfterMilliseconds,
    });
}
