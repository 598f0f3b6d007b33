/**
 * Decides which requests a stopping node still accepts.
 *
 * Callers cache addresses for seconds and continue to connect to a node that is leaving. Refusing all of them at once would cost
 * each caller an attempt. Accepting all of them would truncate the answers that are incomplete when the process is killed.
 */
import { type Clock, Failure } from "../common/index.js";
import type { Route } from "../routing/index.js";

/** Streams, and requests of other nodes, are accepted during this first share of the time to stop. Most streams take a few seconds. */
const streamAdmissionShare = 0.34;
/** Requests in flight are aborted after this share of the time to stop, so that the process exits before it is killed. */
const abortShare = 0.95;
/** The last answers are written until this share of the time to stop. What remains is for the end of the process. */
const answerShare = 0.98;
/** Retry delay of refused callers. It is short because they can reach another node at once. */
const refusalRetryMilliseconds = 50;

/** Decides which requests are accepted after the stop signal. */
export class Shutdown {
    readonly #clock: Clock;
    #startedAt: number | undefined;
    #stopMilliseconds = 0;

    /** @param clock - Measures the time since the stop signal. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Whether the stop signal was received. */
    get hasStarted(): boolean {
        return this.#startedAt !== undefined;
    }

    /**
     * Records the stop signal.
     * @param stopMilliseconds - Time until the process is killed.
     */
    start(stopMilliseconds: number): void {
        this.#startedAt = this.#clock.monotonic();
        this.#stopMilliseconds = stopMilliseconds;
    }

    /** Returns the time until requests in flight have to be aborted, in milliseconds. */
    getTimeLeft(): number {
        return this.#stopMilliseconds * abortShare - this.#getElapsed();
    }

    /** Returns the time until all answers have to be written, in milliseconds. */
    getAnswerTimeLeft(): number {
        return this.#stopMilliseconds * answerShare - this.#getElapsed();
    }

    /**
     * Returns why a request is refused, or undefined when it is accepted.
     * @param route - Its route.
     */
    check(route: Route): Failure | undefined {
        if (this.#startedAt === undefined || this.#canFinish(route)) {
            return undefined;
        }
        return new Failure({
            kind: "unavailable",
            message: "The node is stopping, and the request may not complete in time.",
            remedy: "Fetch other addresses and send the request there.",
            retryAfterMilliseconds: refusalRetryMilliseconds,
        });
    }

    /** Returns whether a request whose length is unknown may begin. */
    canFinishUnknown(): boolean {
        return this.#startedAt === undefined
            || this.getTimeLeft() > this.#stopMilliseconds * (abortShare - streamAdmissionShare);
    }

    #getElapsed(): number {
        return this.#startedAt === undefined ? 0 : this.#clock.monotonic() - this.#startedAt;
    }

    #canFinish(route: Route): boolean {
        return route.kind === "stream" ? this.canFinishUnknown() : this.getTimeLeft() > route.timeoutMilliseconds;
    }
}

/** Creates the failure of a request that was accepted and cannot be answered before the node stops. */
export function createStopFailure(): Failure {
    return new Failure({
        kind: "unavailable",
        message: "The node stops before the request can be answered.",
        remedy: "Send the request to another address.",
        retryAfterMilliseconds: refusalRetryMilliseconds,
    });
}
