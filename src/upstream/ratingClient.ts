/**
 * Client of the rating service (docs/design/interfaces.md, "Rating service").
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { Failure, readDocument } from "../common/index.js";

/** An answer to rate. */
export interface RatingRequest {
    readonly id: string;
    readonly version: string;
    readonly requestClass: string;
    readonly question: string;
    readonly answer: string;
}

/** Options of a rating client. */
export interface RatingClientOptions {
    readonly url: string;
    readonly dispatcher: Dispatcher;
    readonly timeoutMilliseconds: number;
}

/**
 * Consecutive failures after which the service counts as unavailable. Sampled answers are still sent, so its return is detected.
 */
const unavailableAfterFailures = 3;

/** Requests ratings. */
export class RatingClient {
    readonly #url: string;
    readonly #dispatcher: Dispatcher;
    readonly #timeout: number;
    #consecutiveFailures = 0;

    constructor(options: RatingClientOptions) {
        this.#url = options.url;
        this.#dispatcher = options.dispatcher;
        this.#timeout = options.timeoutMilliseconds;
    }

    /** Returns whether the service is available, so that plans may rely on ratings. */
    isAvailable(): boolean {
        return this.#consecutiveFailures < unavailableAfterFailures;
    }

    /**
     * Rates an answer. The score is `undefined` when the service leaves the answer unrated.
     * @param rating - The answer.
     * @param timeoutMilliseconds - Timeout of the call; by default the client's own timeout.
     */
    async rate(
        rating: RatingRequest,
        timeoutMilliseconds: number = this.#timeout,
    ): Promise<Result<number | undefined, Failure>> {
        const result = await this.#requestRating(rating, timeoutMilliseconds);
        this.#consecutiveFailures = result.isOk() ? 0 : this.#consecutiveFailures + 1;
        return result;
    }

    async #requestRating(
        rating: RatingRequest,
        timeoutMilliseconds: number,
    ): Promise<Result<number | undefined, Failure>> {
        try {
            const response = await request(`${this.#url}/ratings`, {
                method: "POST",
                dispatcher: this.#dispatcher,
                headersTimeout: timeoutMilliseconds,
                bodyTimeout: timeoutMilliseconds,
                headers: { "content-type": "application/json" },
                body: JSON.stringify({
                    id: rating.id,
                    version: rating.version,
                    class: rating.requestClass,
                    question: rating.question,
                    answer: rating.answer,
                }),
            });
            if (response.statusCode === 204) {
                await response.body.dump();
                return ok(undefined);
            }
            if (response.statusCode !== 200) {
                await response.body.dump();
                return err(createFailure(`it answered with status ${response.statusCode}`));
            }
            const { score } = JSON.parse(await readDocument(response.body)) as { score: number; };
            return ok(score);
        }
        catch (error) {
            return err(createFailure(error instanceof Error ? error.message : String(error)));
        }
    }
}

function createFailure(reason: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `The rating service returned no rating: ${reason}.`,
        remedy: "Continue without it; the answer counts as unrated.",
    });
}
