/**
 * Cancels a call: when its exchange ends, when its answer does not start in time, or when the node gives it up.
 */
import { ReadTimeout } from "../common/index.js";

/** Time after which it is asked again whether a call may be given up that could not be replaced, in milliseconds. */
export const recheckMilliseconds = 250;

/** Options of `CallCancellation`. */
export interface CallCancellationOptions {
    /** Aborted when the exchange ends. */
    readonly ended: AbortSignal;
    /** Aborted when the answer is no longer wanted, before it has started. */
    readonly withdrawal?: AbortSignal | undefined;
    /** Time in which the answer has to start, in milliseconds. Undefined when the exchange's own end comes first. */
    readonly headTimeoutMilliseconds: number | undefined;
    /**
     * Makes sure that another upstream takes the request, asked when the answer does not start in time. A call that nothing can replace
     * goes on.
     * @param signal - Aborted when the answer starts or the call ends.
     * @returns Whether the call is given up.
     */
    readonly reserveNext: (signal: AbortSignal) => Promise<boolean>;
}

/** The cancellation of one call. */
export class CallCancellation {
    readonly #controller = new AbortController();
    /** Aborted when the call waits no longer for the start of the answer. */
    readonly #waitController = new AbortController();
    readonly #ended: AbortSignal;
    readonly #withdrawal: AbortSignal | undefined;
    readonly #reserveNext: (signal: AbortSignal) => Promise<boolean>;
    #timeout: ReadTimeout | undefined;
    #isHeadTimedOut = false;
    #isReplaced = false;
    #isOverdue = false;
    /** Called when another upstream takes the request. Without it, the call is then given up. */
    #onReplaced: (() => void) | undefined;

    constructor({ ended, withdrawal, headTimeoutMilliseconds, reserveNext }: CallCancellationOptions) {
        this.#ended = ended;
        this.#withdrawal = withdrawal;
        this.#reserveNext = reserveNext;
        ended.addEventListener("abort", this.cancel);
        withdrawal?.addEventListener("abort", this.cancel);
        if (withdrawal?.aborted === true) {
            this.cancel();
        }
        if (headTimeoutMilliseconds !== undefined) {
            this.#startTimeout(headTimeoutMilliseconds);
        }
    }

    /** Aborted when the call is cancelled. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    /** Whether the call was given up as the answer did not start in time. */
    get isHeadTimedOut(): boolean {
        return this.#isHeadTimedOut;
    }

    /** Whether the answer did not start in time, so that another upstream was asked beside this one. */
    get isOverdue(): boolean {
        return this.#isOverdue;
    }

    /** Whether another upstream takes the request, which is asked beside this one. */
    get isReplaced(): boolean {
        return this.#isReplaced;
    }

    /** Cancels the call. */
    readonly cancel = (): void => this.#controller.abort();

    /** Stops waiting for the start of the answer. */
    stopHeadTimeout(): void {
        this.#timeout?.clear();
        this.#waitController.abort();
        this.#withdrawal?.removeEventListener("abort", this.cancel);
    }

    /**
     * Waits until another upstream takes the request as the answer does not start in time. The call then goes on beside that one until
     * it is given up. If there was one before, which has failed, a further one is asked for at once.
     */
    waitForReplacement(): Promise<void> {
        const replaced = new Promise<void>(resolve => this.#onReplaced = resolve);
        if (this.#isReplaced) {
            this.#isReplaced = false;
            void this.#giveUpIfReplaced();
        }
        return replaced;
    }

    /** Gives the call up as its answer did not start in time. Has no effect once the answer has started or the call has ended. */
    giveUp(): void {
        if (!this.#waitController.signal.aborted && !this.signal.aborted) {
            this.#isHeadTimedOut = true;
            this.cancel();
        }
    }

    /** Ignores the end of the exchange from now on. */
    dispose(): void {
        this.#ended.removeEventListener("abort", this.cancel);
        this.#withdrawal?.removeEventListener("abort", this.cancel);
    }

    #startTimeout(milliseconds: number): void {
        this.#timeout = new ReadTimeout(milliseconds, () => void this.#giveUpIfReplaced());
    }

    async #giveUpIfReplaced(): Promise<void> {
        const { signal } = this.#waitController;
        if (signal.aborted) {
            return;
        }
        const isReplaced = await this.#reserveNext(signal);
        if (signal.aborted) {
            return;
        }
        if (!isReplaced) {
            this.#startTimeout(recheckMilliseconds);
            return;
        }
        if (this.#onReplaced === undefined) {
            this.giveUp();
            return;
        }
        this.#isReplaced = true;
        this.#isOverdue = true;
        this.#onReplaced();
        this.#onReplaced = undefined;
    }
}
