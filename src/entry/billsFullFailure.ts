/**
 * The failure of requests that cannot be billed.
 */
import { Failure } from "../common/index.js";

/** Creates the failure of a request whose bill cannot be stored. */
export function createBillsFullFailure(): Failure {
    return new Failure({
        kind: "unavailable",
        message: "Bills cannot be stored: the log has been unavailable for so long that their buffer is full.",
        remedy: "Retry later.",
        retryAfterMilliseconds: 15_000,
    });
}
