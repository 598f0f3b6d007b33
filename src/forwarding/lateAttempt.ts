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
    /** Called when an answer has begun, also one that is not delivered. */
    readonly onBegin: () => void;
    /** Called when the attempt fails while it is kept. */
    readonly onFail: (error: AttemptFailure) => void;
}

/** An attempt that goes on if its answer begins before the one beside it. */
export class LateAttempt {
    readonly #attempt: PendingAttempt;
    readonly #onBegin: () => void;
    readonly #onFail: (error: AttemptFailure) => void;
    readonly #beginController = new AbortController();
    #state: "kept" | "taken" | "replaced" = "kept";
    /** The attempt whose answer has begun. A failure of the upstream is the answer only if the other attempt fails. */
    #begun: Attempt | undefined;

    constructor({ attempt, onBegin, onFail }: LateAttemptOptions) {
        this.#attempt = attempt;
        this.#onBegin = onBegin;
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
        if (this.#begun !== undefined) {
            endReplaced(this.#begun);
        }
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
        this.#begun = result.value;
        this.#onBegin();
        if (this.#state === "replaced") {
            // Both have begun in the same moment.
            endReplaced(this.#begun);
        }
        else if (this.#begun.answer.status < minServerErrorStatus) {
            this.#beginController.abort();
        }
    }
}

/** Ends an attempt whose answer has begun and is not delivered. */
function endReplaced(attempt: Attempt): void {
    const { status } = attempt.answer;
    if (status >= minServerErrorStatus) {
        attempt.finish("error", `status ${status}`, "complete");
    }
    else {
        attempt.drop("another attempt has begun");
    }
    attempt.cancel();
}
