/**
 * Keeps an attempt whose answer has not begun in time while another upstream is asked. That one may queue the request, be silent itself
 * or fail, so that whichever begins first goes on.
 */
import type { Attempt, AttemptFailure } from "./attempt.js";
import type { PendingAttempt } from "./pendingAttempt.js";
import { minServerErrorStatus } from "./upstreamCall.js";

/** Options of `LateAttempt`. */
export interface LateAttemptOptions {
    readonly attempt: PendingAttempt;
    /** Called when the attempt fails while it is kept. */
    readonly onFail: (error: AttemptFailure) => void;
}

/** An attempt that goes on if its answer begins before the one beside it. */
export class LateAttempt {
    readonly #attempt: PendingAttempt;
    readonly #onFail: (error: AttemptFailure) => void;
    readonly #beginController = new AbortController();
    #state: "kept" | "taken" | "replaced" = "kept";
    /** A failure of the upstream, which is the answer only if the other attempt fails. */
    #failedAnswer: Attempt | undefined;

    constructor({ attempt, onFail }: LateAttemptOptions) {
        this.#attempt = attempt;
        this.#onFail = onFail;
        void this.#watch();
    }

    /** Aborted when the answer begins. The attempt beside it is then in vain. */
    get begins(): AbortSignal {
        return this.#beginController.signal;
    }

    /** Ends the attempt: the other one has begun. Has no effect after `take`. */
    replace(): void {
        if (this.#state !== "kept") {
            return;
        }
        this.#state = "replaced";
        this.#attempt.giveUp();
        this.#failedAnswer?.finish("error", `status ${this.#failedAnswer.answer.status}`, "complete");
        this.#failedAnswer?.cancel();
    }

    /** Takes the attempt in order to go on with it. */
    take(): PendingAttempt {
        this.#state = "taken";
        return this.#attempt;
    }

    async #watch(): Promise<void> {
        const result = await this.#attempt.result;
        if (this.#state === "taken") {
            return;
        }
        if (result.isErr()) {
            this.#onFail(result.error);
            return;
        }
        const attempt = result.value;
        if (this.#state === "replaced") {
            // Both have begun in the same moment.
            attempt.drop("another attempt has begun");
            attempt.cancel();
        }
        else if (attempt.answer.status >= minServerErrorStatus) {
            this.#failedAnswer = attempt;
        }
        else {
            this.#beginController.abort();
        }
    }
}
