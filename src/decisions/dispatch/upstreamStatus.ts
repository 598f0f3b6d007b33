/**
 * State of one upstream as one node has observed it: load, failures, and ejection.
 */

/** Represents the load that an upstream reported with an answer. */
export interface ReportedRequests {
    /** Running and waiting requests of all nodes. */
    readonly requests: number;
    /** Those of them that wait for a slot or for their first token. Undefined if the upstream does not say. */
    readonly waiting?: number | undefined;
    readonly slots: number;
    /** How long work takes at the upstream at this moment, relative to usual. Undefined if it does not say. */
    readonly slowdown?: number | undefined;
}

/**
 * Half-life of a reported slowdown, in milliseconds: half of the time that such a state lasts when it changes about twice a second. It
 * fades linearly, and after two half-lives nothing is left of it.
 */
const slowdownHalfLifeMilliseconds = 250;
/** Half-life of the difference between the reported and the average requests of other nodes, in milliseconds. */
const loadHalfLifeMilliseconds = 1_500;
/** Weight of the latest outcome in the failure rate, which spans about the last eight outcomes. */
const outcomeWeight = 0.12;
/** Minimum number of outcomes for a meaningful failure rate. */
const minOutcomes = 4;
const initialEjectionMilliseconds = 1_000;
const maxEjectionMilliseconds = 8_000;
/** Consecutive calls without any response after which an upstream is considered unreachable. */
const maxUnresponsiveFailures = 2;

/**
 * Outcome of a call to an upstream.
 * - `error`: the upstream answered with an error of its own.
 * - `failed`: the answer was cut off.
 * - `silent`: nothing was received before the timeout, or no connection could be opened.
 * - `refused`: the upstream had no free capacity, which says nothing about its health.
 */
export type CallOutcome = "ok" | "error" | "failed" | "silent" | "refused" | "cancelled";

/**
 * Time after other data was received from an upstream, in milliseconds, within which an unresponsive call does not count towards
 * `maxUnresponsiveFailures`: that single call has failed, and the upstream is still reachable.
 */
const recentlySeenMilliseconds = 800;

/** Records the load and the outcomes of one upstream. */
export class UpstreamStatus {
    #inFlight = 0;
    #pendingPrefillMilliseconds = 0;
    /** Prompts of this node that have no answer yet. */
    #pendingPrompts = 0;
    #lastSeenAt = Number.NEGATIVE_INFINITY;
    #lastStartAt = Number.NEGATIVE_INFINITY;
    /** Requests of other nodes as of the last report. */
    #otherRequests = 0;
    /** Waiting requests of other nodes as of the last report; undefined if it did not say. */
    #otherWaiting: number | undefined;
    #slowdown = 1;
    #reportedAt = Number.NEGATIVE_INFINITY;
    #failureRate = 0;
    #outcomes = 0;
    #unresponsiveFailures = 0;
    #ejections = 0;
    #ejectedUntil = Number.NEGATIVE_INFINITY;

    /** Returns the number of requests of this node that are in flight at the upstream. */
    getInFlight(): number {
        return this.#inFlight;
    }

    /**
     * Returns the expected number of requests of all nodes at the upstream. Old reports lose their weight: without a recent report, the
     * upstream is assumed to have the average load of its pool. If it were assumed to be idle, every node without a recent report would
     * send its next request there. In a large fleet that is nearly every node, and overloaded upstreams would get even more requests.
     * @param now - Monotonic milliseconds.
     * @param averageOthers - Average requests of other nodes at an upstream of the pool.
     */
    getExpectedRequests(now: number, averageOthers: number): number {
        const reportWeight = 0.5 ** ((now - this.#reportedAt) / loadHalfLifeMilliseconds);
        return this.#inFlight + averageOthers + (this.#otherRequests - averageOthers) * reportWeight;
    }

    /** Returns the waiting requests of other nodes in the last report; undefined if it did not say. */
    getReportedWaiting(): number | undefined {
        return this.#otherWaiting;
    }

    /**
     * Returns the expected number of waiting requests of other nodes. Old reports lose their weight.
     * @param averageWaiting - Average number at an upstream of the same pace.
     * @param weight - Weight of the last report, from 0 to 1.
     */
    getOtherWaiting(averageWaiting: number, weight: number): number {
        return averageWaiting + ((this.#otherWaiting ?? averageWaiting) - averageWaiting) * weight;
    }

    /**
     * Returns how long work takes at the upstream at this moment, relative to usual; 1 when nothing recent is known.
     * @param now - Monotonic milliseconds.
     */
    getSlowdown(now: number): number {
        const weight = Math.max(0, 1 - (now - this.#reportedAt) / (2 * slowdownHalfLifeMilliseconds));
        return 1 + (this.#slowdown - 1) * weight;
    }

    /** Returns the time since the last report, in milliseconds; infinity if there is none. */
    getReportAge(now: number): number {
        return now - this.#reportedAt;
    }

    /** Returns the time since data was received or a call was started, in milliseconds; infinity if neither ever was. */
    getTrialAge(now: number): number {
        return now - Math.max(this.#reportedAt, this.#lastSeenAt, this.#lastStartAt);
    }

    /** Returns the smoothed share of failed calls; 0 until there are enough outcomes. */
    getFailureRate(): number {
        return this.#outcomes < minOutcomes ? 0 : this.#failureRate;
    }

    /**
     * Returns whether the upstream is ejected, that is, gets no new requests for now.
     * @param now - Monotonic milliseconds.
     */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Returns the expected prefill time of this node's prompts that have no answer yet, in milliseconds. */
    getPendingPrefillMilliseconds(): number {
        return this.#pendingPrefillMilliseconds;
    }

    /**
     * Records the start of a call.
     * @param now - Monotonic milliseconds.
     */
    start(now: number): void {
        this.#inFlight += 1;
        this.#lastStartAt = now;
    }

    /**
     * Changes the pending prefill time.
     * @param milliseconds - Expected prefill time of a prompt; negative when its prefill has ended.
     */
    addPendingPrefill(milliseconds: number): void {
        this.#pendingPrompts = Math.max(0, this.#pendingPrompts + Math.sign(milliseconds));
        this.#pendingPrefillMilliseconds = Math.max(0, this.#pendingPrefillMilliseconds + milliseconds);
    }

    /** Records that data was received from the upstream. */
    markSeen(now: number): void {
        this.#lastSeenAt = now;
    }

    /**
     * Records the load that was reported with an answer.
     * @returns The number of requests of other nodes in it.
     */
    addLoadReport(load: ReportedRequests, now: number): number {
        this.#otherRequests = Math.max(0, load.requests - this.#inFlight);
        this.#otherWaiting = load.waiting && Math.max(0, load.waiting - this.#pendingPrompts);
        this.#slowdown = load.slowdown ?? 1;
        this.#reportedAt = now;
        return this.#otherRequests;
    }

    /**
     * Records the end of a call.
     * @param outcome - Outcome of the call.
     * @param now - Monotonic milliseconds.
     */
    finish(outcome: CallOutcome, now: number): void {
        // The call may have been sent to an earlier incarnation, whose state was discarded.
        this.#inFlight = Math.max(0, this.#inFlight - 1);
        if (outcome === "cancelled" || outcome === "refused") {
            return;
        }
        this.#outcomes += 1;
        const failed = outcome === "ok" ? 0 : 1;
        this.#failureRate += outcomeWeight * (failed - this.#failureRate);
        const isRecentlySeen = now - this.#lastSeenAt < recentlySeenMilliseconds;
        this.#unresponsiveFailures = outcome === "silent" && !isRecentlySeen ? this.#unresponsiveFailures + 1 : 0;
        if (outcome === "ok" && this.#failureRate < outcomeWeight) {
            this.#ejections = 0;
        }
    }

    /** Discards the recorded failures and ends the ejection. */
    clearFailures(): void {
        this.#failureRate = 0;
        this.#outcomes = 0;
        this.#unresponsiveFailures = 0;
        this.#ejections = 0;
        this.#ejectedUntil = Number.NEGATIVE_INFINITY;
    }

    /**
     * Returns whether the upstream is unreachable or fails so much more often than its pool that it should be ejected.
     * @param poolFailureRate - Mean failure rate of the other upstreams of the pool.
     */
    isOutlier(poolFailureRate: number): boolean {
        return this.#unresponsiveFailures >= maxUnresponsiveFailures || this.getFailureRate() > poolFailureRate + 0.25;
    }

    /**
     * Ejects the upstream, for twice as long each time up to a limit.
     * @param now - Monotonic milliseconds.
     * @returns The duration of the ejection, in milliseconds.
     */
    eject(now: number): number {
        const milliseconds = Math.min(maxEjectionMilliseconds, initialEjectionMilliseconds * 2 ** this.#ejections);
        this.#ejections += 1;
        this.#ejectedUntil = now + milliseconds;
        // After its return, one more unresponsive call ejects it again, and one successful call resets the count.
        this.#unresponsiveFailures = Math.min(this.#unresponsiveFailures, maxUnresponsiveFailures - 1);
        this.#failureRate /= 2;
        return milliseconds;
    }
}
