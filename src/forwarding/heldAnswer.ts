/**
 * Keeps an answer that is to be replaced by a better one, until it is certain that the other one will be made.
 */
import type { Attempt } from "./attempt.js";

/**
 * Time after the sending of the other request for which the answer is kept. An upstream that rejects a request does so at once, and
 * the answer's own upstream must not go on working beside the other one for long.
 */
const keptMilliseconds = 100;

/** Options of `HeldAnswer`. */
export interface HeldAnswerOptions {
    readonly attempt: Attempt;
    /**
     * Returns whether the upstream of the other request may well reject it. Called when that one is sent; otherwise the answer is
     * discarded then.
     */
    readonly mayBeRejected: () => boolean;
    /** Records the end of the attempt whose answer is discarded. */
    readonly onDiscard: () => void;
}

/** An answer that is not read on meanwhile. Its unread body takes no more memory than a connection buffers. */
export class HeldAnswer {
    readonly #attempt: Attempt;
    readonly #mayBeRejected: () => boolean;
    readonly #onDiscard: () => void;
    #timer: NodeJS.Timeout | undefined;
    #isHeld = true;

    constructor({ attempt, mayBeRejected, onDiscard }: HeldAnswerOptions) {
        this.#attempt = attempt;
        this.#mayBeRejected = mayBeRejected;
        this.#onDiscard = onDiscard;
    }

    /** Records that the other request is sent. */
    markOtherSent(): void {
        if (!this.#mayBeRejected()) {
            this.discard();
            return;
        }
        this.#timer ??= setTimeout(() => this.discard(), keptMilliseconds);
    }

    /** Discards the answer and cancels the work on it. Later calls are ignored. */
    discard(): void {
        if (this.#release()) {
            this.#onDiscard();
            this.#attempt.cancel();
        }
    }

    /** Takes the answer in order to deliver it; undefined if it was discarded. */
    take(): Attempt | undefined {
        return this.#release() ? this.#attempt : undefined;
    }

    #release(): boolean {
        clearTimeout(this.#timer);
        const wasHeld = this.#isHeld;
        this.#isHeld = false;
        return wasHeld;
    }
}
