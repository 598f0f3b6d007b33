/**
 * Reads what an upstream states of itself with its answers (docs/design/interfaces.md, `X-Rate-Limit`, `Retry-After`, "leaving").
 */
import type { Clock } from "../common/index.js";
import type { Announcement } from "../fleet/index.js";
import { type RateStatement, readStatedRate } from "../ratelimits/index.js";
import type { Vm } from "../world/index.js";
import { readRest } from "./rest.js";

/** The head of an answer in the form of the HTTP client. */
export interface AnswerHead {
    readonly statusCode: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Options of `AnswerObserver`. */
export interface AnswerObserverOptions {
    readonly clock: Clock;
    /** Receives what each answer states about the rate limit of its upstream. */
    readonly onRate: (statement: RateStatement) => void;
    /** Receives that an upstream leaves or asks for rest. */
    readonly onAnnouncement: (upstream: Vm, announcement: Announcement) => void;
}

/** Passes on what the answers of upstreams state. */
export class AnswerObserver {
    readonly #options: AnswerObserverOptions;

    constructor(options: AnswerObserverOptions) {
        this.#options = options;
    }

    /** Returns the time at which a request is sent, for `observe`. */
    getTime(): number {
        return this.#options.clock.monotonic();
    }

    /**
     * Reads the head of an answer.
     * @param upstream - The VM of the upstream.
     * @param head - The head.
     * @param sentAt - Monotonic time at which the request was sent.
     */
    observe(upstream: Vm, head: AnswerHead, sentAt: number): void {
        const rateLimit = getSingleHeader(head.headers["x-rate-limit"]);
        const isRepeated = rateLimit === undefined && head.headers["x-rate-limit"] !== undefined;
        const requestsPerSecond = isRepeated ? undefined : readStatedRate(rateLimit, head.statusCode);
        if (requestsPerSecond !== undefined) {
            this.#options.onRate({ upstream: upstream.id, requestsPerSecond, sentAt });
        }
        this.observeRest(upstream, head);
    }

    /**
     * Reads whether an answer asks for rest, also one to a request that this entry forwards for another one.
     * @param upstream - The VM of the upstream.
     * @param head - The head.
     */
    observeRest(upstream: Vm, { statusCode: status, headers }: AnswerHead): void {
        const retryAfter = getSingleHeader(headers["retry-after"]);
        const rest = readRest({ status, retryAfter, date: getSingleHeader(headers.date) }, this.#options.clock.wall());
        if (rest.kind === "asked") {
            this.#options.onAnnouncement(upstream, { isLeaving: false, restMilliseconds: rest.milliseconds });
        }
    }

    /** Records that an upstream has refused a request because it leaves. */
    observeLeaving(upstream: Vm): void {
        this.#options.onAnnouncement(upstream, { isLeaving: true, restMilliseconds: undefined });
    }
}

/**
 * Returns the value of a header that was sent exactly once.
 * @param header - The header in the form of the HTTP client.
 */
export function getSingleHeader(header: string | string[] | undefined): string | undefined {
    return typeof header === "string" ? header : undefined;
}
