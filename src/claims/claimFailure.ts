/**
 * Failures of claims, which state whether the operation may still be in the log.
 */
import { Failure } from "../common/index.js";

const retryAfterMilliseconds = 2_000;

/** Failure of a claim that could not be decided. */
export class ClaimFailure extends Failure {
    /** Whether the operation may be in the log, or may arrive there later. */
    readonly mayHaveTakenEffect: boolean;

    /**
     * @param mayHaveTakenEffect - Whether the operation may be in the log.
     * @param cause - The cause of the failure.
     */
    constructor(mayHaveTakenEffect: boolean, cause?: unknown) {
        super({
            kind: "unavailable",
            message: mayHaveTakenEffect
                ? "The claim could not be read back from the log; it may have been written."
                : "The claim could not be written to the log.",
            remedy: "Do not run the request here; send it again with the same key when the log answers.",
            retryAfterMilliseconds,
            cause,
        });
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }
}
