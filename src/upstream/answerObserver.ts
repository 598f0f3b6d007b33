/**
 * Reads the rate limit that an upstream states with its answers (docs/design/interfaces.md, `X-Rate-Limit`).
 */
import type { Clock } from "../common/index.js";
import { type RateStatement, readStatedRate } from "../ratelimits/index.js";

/** The head of an answer in the form of the HTTP client. */
export interface AnswerHead {
    readonly statusCode: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Options of `RateObserver`. */
export interface RateObserverOptions {
    readonly clock: Clock;
    /** Receives what each answer states. */
    readonly onStatement: (statement: RateStatement) => void;
}

/** Passes on what the answers of upstreams state about their rate limits. */
export class RateObserver {
    readonly #options: RateObserverOptions;

    constructor(options: RateObserverOptions) {
        this.#options = options;
    }

    /** Returns the time at which a request is sent, for `observe`. */
    getTime(): number {
        return this.#options.clock.monotonic();
    }

    /**
     * Reads the head of an answer.
     * @param upstream - Identifier of the upstream.
     * @param head - The head.
     * @param sentAt - Monotonic time at which the request was sent.
     */
    observe(upstream: string, { statusCode, headers }: AnswerHead, sentAt: number): void {
        const header = headers["x-rate-limit"];
        const requestsPerSecond = Array.isArray(header) ? undefined : readStatedRate(header, statusCode);
        if (requestsPerSecond !== undefined) {
            this.#options.onStatement({ upstream, requestsPerSecond, sentAt });
        }
    }
}
