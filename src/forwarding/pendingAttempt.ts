/**
 * An attempt that was sent, whose answer may not have begun yet.
 */
import type { Result } from "neverthrow";
import type { Attempt, AttemptFailure } from "./attempt.js";
import type { CallCancellation } from "./callCancellation.js";

/** An attempt that was sent. */
export class PendingAttempt {
    /** The attempt when its answer has begun, or why it has not. */
    readonly result: Promise<Result<Attempt, AttemptFailure>>;
    readonly #cancellation: CallCancellation;

    /**
     * @param cancellation - Cancels the call.
     * @param result - The result of the call.
     */
    constructor(cancellation: CallCancellation, result: Promise<Result<Attempt, AttemptFailure>>) {
        this.#cancellation = cancellation;
        this.result = result;
    }

    /**
     * Waits until the answer has begun, or until it is overdue and the next attempt is admitted. If there was a next one before, which
     * has failed, a further one is asked for at once.
     * @returns Whether the next attempt is admitted, beside which this one goes on.
     */
    waitUntilReplaced(): Promise<boolean> {
        return Promise.race([
            this.result.then(() => false),
            this.#cancellation.waitForReplacement().then(() => true),
        ]);
    }

    /** Gives the attempt up as its answer has not begun in time. Has no effect on one that has begun. */
    giveUp(): void {
        this.#cancellation.giveUp();
    }
}
