/**
 * Keeps an upstream's own failure while another attempt is awaited. It is more informative than a refusal by the router.
 */
import type { StreamAnswer } from "./streamAnswer.js";

/** A failure that is delivered if nothing better comes. Its unread body takes no more memory than a connection buffers. */
export class FailedAnswer {
    #answer: StreamAnswer | undefined;

    /** Keeps a failure in place of the one before, if there was one. */
    keep(answer: StreamAnswer): void {
        this.drop();
        this.#answer = answer;
    }

    /** Takes the failure in order to deliver it; undefined if none is kept. */
    take(): StreamAnswer | undefined {
        const answer = this.#answer;
        this.#answer = undefined;
        return answer;
    }

    /** Ends the attempt that failed, if there is one. */
    drop(): void {
        const attempt = this.take()?.attempt;
        attempt?.finish("error", `status ${attempt.answer.status}`, "complete");
        attempt?.cancel();
    }
}
