/**
 * Watches how long the attempts of a request wait for the heads of their answers.
 */
import type { Clock } from "../common/index.js";
import { minServerErrorStatus } from "./upstreamCall.js";

/** A measured time to the head of an answer. */
export interface MeasuredHead {
    readonly milliseconds: number;
    readonly expectedMilliseconds: number;
    readonly model: string | undefined;
}

/** Options of `HeadWatch`. */
export interface HeadWatchOptions {
    readonly clock: Clock;
    /** Returns the timeout of an attempt that is about to be sent, in milliseconds; undefined for none. */
    readonly getTimeout: (expectedMilliseconds: number, model: string | undefined) => number | undefined;
    readonly onHead: (head: MeasuredHead) => void;
    /** Called when an attempt is sent after one that was given up, with the time that was waited for that one. */
    readonly onSecondTry: (afterMilliseconds: number) => void;
}

/** Watches the attempts of one request. */
export class HeadWatch {
    readonly #options: HeadWatchOptions;
    #last: WatchedHead | undefined;

    constructor(options: HeadWatchOptions) {
        this.#options = options;
    }

    /**
     * Records that an attempt is sent, and starts to watch the head of its answer.
     * @param expectedMilliseconds - Expected time to the head.
     * @param model - The model that is to answer.
     */
    start(expectedMilliseconds: number, model?: string): WatchedHead {
        const overdueMilliseconds = this.#last?.overdueMilliseconds;
        if (overdueMilliseconds !== undefined) {
            this.#options.onSecondTry(overdueMilliseconds);
        }
        const { clock, getTimeout, onHead } = this.#options;
        const timeoutMilliseconds = getTimeout(expectedMilliseconds, model);
        this.#last = new WatchedHead({ clock, expectedMilliseconds, model, timeoutMilliseconds, onHead });
        return this.#last;
    }
}

/** Options of `WatchedHead`. */
export interface WatchedHeadOptions extends Pick<HeadWatchOptions, "clock" | "onHead"> {
    readonly expectedMilliseconds: number;
    readonly model: string | undefined;
    readonly timeoutMilliseconds: number | undefined;
}

/** Watches how long one attempt waits for the head of its answer. */
export class WatchedHead {
    /**
     * The timeout for the head, in milliseconds. Undefined waits until the deadline of the request: a separate timer of the same length
     * would race with the deadline, and callers that ran out of time would receive an upstream failure.
     */
    readonly timeoutMilliseconds: number | undefined;
    readonly #options: WatchedHeadOptions;
    readonly #startedAt: number;
    #isAnswered = false;
    /** Time from the start to the failure. Undefined while the attempt has not failed. */
    #failedAfterMilliseconds: number | undefined;

    constructor(options: WatchedHeadOptions) {
        this.#options = options;
        this.timeoutMilliseconds = options.timeoutMilliseconds;
        this.#startedAt = options.clock.monotonic();
    }

    /** Time that was waited for the head, if that is longer than its timeout and the attempt was not answered. */
    get overdueMilliseconds(): number | undefined {
        const waited = this.#failedAfterMilliseconds ?? this.#getElapsed();
        const timeout = this.timeoutMilliseconds;
        const isOverdue = !this.#isAnswered && timeout !== undefined && waited >= Math.floor(timeout);
        return isOverdue ? waited : undefined;
    }

    /**
     * Records that the head of the answer has arrived.
     * @param status - Status of the answer.
     */
    markHead(status: number): void {
        this.#isAnswered = true;
        // Times of failures say nothing about answers.
        if (status < minServerErrorStatus) {
            const { expectedMilliseconds, model, onHead } = this.#options;
            onHead({ milliseconds: this.#getElapsed(), expectedMilliseconds, model });
        }
    }

    /** Records that the attempt has failed. */
    markFailed(): void {
        this.#failedAfterMilliseconds ??= this.#getElapsed();
    }

    #getElapsed(): number {
        return this.#options.clock.monotonic() - this.#startedAt;
    }
}
