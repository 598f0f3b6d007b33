/**
 * Failures of claims, truthful about whether the log may hold the operation all the same.
 */
import { Failure } from "../common/index.js";

const retryAfterMilliseconds = 2_000;

/** A claim could not be decided. */
export class ClaimFailure extends Failure {
    /** Whether the operation may stand in the log, or arrive there later. */
    readonly mayHaveTakenEffect: boolean;

    /**
     * @param mayHaveTakenEffect - Whether the operation may stand in the log.
     * @param cause - What went wrong.
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
