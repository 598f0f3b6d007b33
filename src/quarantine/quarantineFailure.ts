/**
 * The failure of a request that is quarantined.
 */
import { Failure } from "../common/index.js";

/**
 * Creates the failure of a quarantined request.
 * @param retryAfterMilliseconds - Time after which the request is tried again. Every node refuses it until then.
 */
export function createQuarantineFailure(retryAfterMilliseconds: number | undefined): Failure {
    return new Failure({
        kind: "quarantined",
        message:
            "The request, or a part of its prompt, crashed the upstreams that ran it, so it is sent to no other one.",
        remedy: "Change the request, or have the upstream's operator look into the crashes.",
        retryAfterMilliseconds,
    });
}
