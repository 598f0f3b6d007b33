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

    /** Cancels the call. */
    readonly cancel = (): void => this.#controller.abort();

    /** Stops waiting for the start of the answer. */
    stopHeadTimeout(): void {
        this.#timeout?.clear();
        this.#waitController.abort();
        this.#withdrawal?.removeEventListener("abort", this.cancel);
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
        const isReplaced = await this.#reserveNext(signal);
        if (signal.aborted) {
            return;
        }
        if (!isReplaced) {
            this.#startTimeout(recheckMilliseconds);
            return;
        }
        this.#isHeadTimedOut = true;
        this.cancel();
    }
}
