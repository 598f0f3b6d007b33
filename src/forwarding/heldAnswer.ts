/**
 * Keeps an answer that is to be replaced by a better one, until it is certain that the other one will be made.
 */
import type { Attempt } from "./attempt.js";

/** Options of `HeldAnswer`. */
export interface HeldAnswerOptions {
    readonly attempt: Attempt;
    /** Time after the sending of the other request for which the answer is kept, in milliseconds. */
    readonly keptMilliseconds: number;
    /** Records the end of the attempt whose answer is discarded. */
    readonly onDiscard: () => void;
}

/** An answer that is not read on meanwhile. Its unread body takes no more memory than a connection buffers. */
export class HeldAnswer {
    readonly #attempt: Attempt;
    readonly #keptMilliseconds: number;
    readonly #onDiscard: () => void;
    #timer: NodeJS.Timeout | undefined;
    #isHeld = true;

    constructor({ attempt, keptMilliseconds, onDiscard }: HeldAnswerOptions) {
        this.#attempt = attempt;
        this.#keptMilliseconds = keptMilliseconds;
        this.#onDiscard = onDiscard;
    }

    /** Whether the answer was neither discarded nor taken. */
    get isHeld(): boolean {
        return this.#isHeld;
    }

    /** Records that the other request is sent. */
    markOtherSent(): void {
        this.#timer ??= setTimeout(() => this.discard(), this.#keptMilliseconds);
    }

    /** Records that the other request has certainly not run. The answer is kept until one is sent again. */
    markOtherNotRun(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
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
