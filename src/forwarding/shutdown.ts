/**
 * What a node that was told to stop still takes on.
 *
 * Callers keep addresses for seconds and go on connecting to a node that is leaving. Refusing them all at once would cost
 * each of them a try; taking on everything would break off what is not done when the process is killed.
 */
import { type Clock, Failure } from "../common/index.js";
import type { Route } from "../routing/index.js";

/** Streams are taken on in this first part of the time to stop; most take a few seconds. */
const streamAdmissionShare = 0.34;
/** At this part of the time what is still at work is broken off, so that the process ends by itself. */
const abortShare = 0.95;
/** A refused caller finds another node at once. */
const refusalRetryMilliseconds = 50;

/** Decides from the signal to stop on. */
export class Shutdown {
    readonly #clock: Clock;
    #startedAt: number | undefined;
    #stopMilliseconds = 0;

    /** @param clock - Tells how long ago the signal came. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Whether the node was told to stop. */
    get hasStarted(): boolean {
        return this.#startedAt !== undefined;
    }

    /**
     * Notes the signal to stop.
     * @param stopMilliseconds - Time until the process is killed.
     */
    start(stopMilliseconds: number): void {
        this.#startedAt = this.#clock.monotonic();
        this.#stopMilliseconds = stopMilliseconds;
    }

    /** Returns the milliseconds until what is still at work has to be broken off. */
    getTimeLeft(): number {
        const elapsed = this.#startedAt === undefined ? 0 : this.#clock.monotonic() - this.#startedAt;
        return this.#stopMilliseconds * abortShare - elapsed;
    }

    /**
     * Tells why a request is not taken on any more, if it is not.
     * @param route - Its route.
     */
    check(route: Route): Failure | undefined {
        if (this.#startedAt === undefined || this.#canFinish(route)) {
            return undefined;
        }
        return new Failure({
            kind: "unavailable",
            message: "The node is stopping, and the request might not end in time.",
            remedy: "Ask for other addresses and send the request there.",
            retryAfterMilliseconds: refusalRetryMilliseconds,
        });
    }

    #canFinish(route: Route): boolean {
        const remainingMilliseconds = this.getTimeLeft();
        return route.kind === "stream"
            ? remainingMilliseconds > this.#stopMilliseconds * (abortShare - streamAdmissionShare)
            : remainingMilliseconds > route.timeoutMilliseconds;
    }
}
