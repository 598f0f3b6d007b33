/**
 * Cancels a call: when its exchange ends, when its answer does not start in time, or when the node gives it up.
 */
import { ReadTimeout } from "../common/index.js";

/** Options of `CallCancellation`. */
export interface CallCancellationOptions {
    /** Aborted when the exchange ends. */
    readonly ended: AbortSignal;
    /** Time in which the answer has to start, in milliseconds. Undefined when the exchange's own end comes first. */
    readonly headTimeoutMilliseconds: number | undefined;
}

/** The cancellation of one call. */
export class CallCancellation {
    readonly #controller = new AbortController();
    readonly #ended: AbortSignal;
    readonly #timeout: ReadTimeout | undefined;
    #isHeadTimedOut = false;

    constructor({ ended, headTimeoutMilliseconds }: CallCancellationOptions) {
        this.#ended = ended;
        ended.addEventListener("abort", this.cancel);
        this.#timeout = headTimeoutMilliseconds === undefined
            ? undefined
            : new ReadTimeout(headTimeoutMilliseconds, () => this.#cancelLate());
    }

    /** Aborted when the call is cancelled. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    /** Whether the answer did not start in time. */
    get isHeadTimedOut(): boolean {
        return this.#isHeadTimedOut;
    }

    /** Cancels the call. */
    readonly cancel = (): void => this.#controller.abort();

    /** Stops waiting for the start of the answer. */
    stopHeadTimeout(): void {
        this.#timeout?.clear();
    }

    /** Ignores the end of the exchange from now on. */
    dispose(): void {
        this.#ended.removeEventListener("abort", this.cancel);
    }

    #cancelLate(): void {
        this.#isHeadTimedOut = true;
        this.cancel();
    }
}
