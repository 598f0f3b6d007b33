/**
 * Keeps a stream's answer whose runner has fallen silent while another runner is asked to go on with it. A sound runner may be
 * silent for a second, and the other one may queue the request, be silent itself or fail, so that whichever begins first goes on.
 */
import { isEndless } from "../connections/index.js";
import type { StreamAnswer } from "./streamAnswer.js";

/** Options of `SilentAnswer`. */
export interface SilentAnswerOptions {
    readonly answer: StreamAnswer;
    /** Why the attempt ends if it is replaced, for log lines. */
    readonly reason: string;
    /** Aborted when the request ends, by which its calls end as well. */
    readonly ended: AbortSignal;
    /** Called when the attempt ends since the other runner has begun. */
    readonly onReplace: () => void;
}

/** An answer that goes on if its runner sends something before the other one begins. */
export class SilentAnswer {
    readonly answer: StreamAnswer;
    readonly #reason: string;
    readonly #ended: AbortSignal;
    readonly #onReplace: () => void;
    readonly #withdrawController = new AbortController();
    #isKept = true;

    constructor({ answer, reason, ended, onReplace }: SilentAnswerOptions) {
        this.answer = answer;
        this.#reason = reason;
        this.#ended = ended;
        this.#onReplace = onReplace;
        void this.#watch();
    }

    /** Aborted when the runner goes on. The attempt at the other runner is then in vain. */
    get goesOn(): AbortSignal {
        return this.#withdrawController.signal;
    }

    /** Ends the attempt and the work on it: the other runner has begun. Has no effect after `take`. */
    replace(): void {
        if (!this.#isKept) {
            return;
        }
        this.#isKept = false;
        this.#onReplace();
        this.answer.attempt.finish("failed", this.#reason, "stopped");
        this.answer.attempt.cancel();
    }

    /** Takes the answer in order to go on with it. */
    take(): StreamAnswer {
        this.#isKept = false;
        return this.answer;
    }

    async #watch(): Promise<void> {
        const { attempt, body } = this.answer;
        try {
            const hasPiece = await body.hasPiece();
            // An end that does not tell a whole answer from a crash leaves it to the other runner to go on.
            if (this.#isKept && (hasPiece || attempt.answer.hasKnownEnd)) {
                this.#withdrawController.abort();
            }
        }
        catch (cause) {
            // Later calls are ignored, so that a crash while the answer is kept counts as one.
            if (this.#isKept && !this.#ended.aborted) {
                attempt.finish("failed", String(cause), isEndless(cause) ? "stopped" : "disconnected");
            }
        }
    }
}
