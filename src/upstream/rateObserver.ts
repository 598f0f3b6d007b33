/**
 * Reads the rate limit that an upstream states with its answers (docs/design/interfaces.md, `X-Rate-Limit`).
 */
import type { Clock } from "../common/index.js";
import { type RateStatement, unlimitedRate } from "../ratelimits/index.js";

/** Statuses from here on are failures, which state nothing by the lack of a limit. */
const minFailureStatus = 400;

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
        const requestsPerSecond = readRate(headers["x-rate-limit"]);
        const isStated = requestsPerSecond !== undefined && requestsPerSecond < unlimitedRate;
        if (requestsPerSecond !== undefined && (isStated || statusCode < minFailureStatus)) {
            this.#options.onStatement({ upstream, requestsPerSecond, sentAt });
        }
    }
}

/** @returns The stated rate, `unlimitedRate` without the header, or undefined if its value is not a rate. */
function readRate(header: string | string[] | undefined): number | undefined {
    if (header === undefined) {
        return unlimitedRate;
    }
    const rate = typeof header === "string" && header.trim() !== "" ? Number(header) : Number.NaN;
    return Number.isFinite(rate) && rate >= 0 ? rate : undefined;
}
