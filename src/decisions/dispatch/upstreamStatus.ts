/**
 * What a node has learned of one upstream: its load, and whether it works.
 */

/** Load that an upstream reported with an answer. */
export interface ReportedRequests {
    /** Requests running and waiting there, of all nodes. */
    readonly requests: number;
    readonly slots: number;
}

/** Time after which half of the difference between what others were reported to have there and what is usual is over, in milliseconds. */
const loadHalfLifeMilliseconds = 1_500;
/** Weight of the newest outcome in the failure rate: about the last eight count. */
const outcomeWeight = 0.12;
/** Outcomes before the rate says anything. */
const minOutcomes = 4;
const initialEjectionMilliseconds = 1_000;
const maxEjectionMilliseconds = 8_000;
/** Failures in a row, with no answer of any kind, after which an upstream is taken to be away. */
const maxUnresponsiveFailures = 2;

/**
 * How a call to an upstream ended, for what is learned of it.
 * - `error`: it answered with a failure of its own.
 * - `failed`: the answer broke off.
 * - `silent`: nothing came in the time that was allowed, or no connection came about.
 * - `refused`: it had no room; that says nothing of its health.
 */
export type CallOutcome = "ok" | "error" | "failed" | "silent" | "refused" | "cancelled";

/** A silent call at an upstream that was heard otherwise within this time failed by itself, in milliseconds. */
const recentlySeenMilliseconds = 800;

/** Learns one upstream. */
export class UpstreamStatus {
    #inFlight = 0;
    #pendingPrefillMilliseconds = 0;
    #lastSeenAt = Number.NEGATIVE_INFINITY;
    /** Requests of other nodes, by the last report. */
    #otherRequests = 0;
    #reportedAt = Number.NEGATIVE_INFINITY;
    #failureRate = 0;
    #outcomes = 0;
    #unresponsiveFailures = 0;
    #ejections = 0;
    #ejectedUntil = Number.NEGATIVE_INFINITY;

    /** Returns the requests of this node that are at work there. */
    getInFlight(): number {
        return this.#inFlight;
    }

    /**
     * Returns the requests that are expected to be there, of all nodes. What was reported long ago says nothing any more; an upstream
     * of which nothing new is known is as crowded as its pool usually is. Taken for empty, it would get the next request of every node
     * that has not heard of it lately: in a large fleet that is nearly all of them, and crowded upstreams get still more.
     * @param now - Monotonic milliseconds.
     * @param averageOthers - Requests of other nodes that an upstream of the pool usually has.
     */
    getExpectedRequests(now: number, averageOthers: number): number {
        const reportWeight = 0.5 ** ((now - this.#reportedAt) / loadHalfLifeMilliseconds);
        return this.#inFlight + averageOthers + (this.#otherRequests - averageOthers) * reportWeight;
    }

    /** Returns the smoothed share of calls that failed. */
    getFailureRate(): number {
        return this.#outcomes < minOutcomes ? 0 : this.#failureRate;
    }

    /**
     * Tells whether the upstream gets nothing new for now.
     * @param now - Monotonic milliseconds.
     */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Returns the time that the prompts of this node take to be read there that have no answer yet, in milliseconds. */
    getPendingPrefillMilliseconds(): number {
        return this.#pendingPrefillMilliseconds;
    }

    /** Notes a call that begins. */
    start(): void {
        this.#inFlight += 1;
    }

    /**
     * Notes that a prompt waits to be read, or no longer does.
     * @param milliseconds - Time that reading it takes; negative when it has been read.
     */
    addPendingPrefill(milliseconds: number): void {
        this.#pendingPrefillMilliseconds = Math.max(0, this.#pendingPrefillMilliseconds + milliseconds);
    }

    /** Notes that something came from the upstream. */
    markSeen(now: number): void {
        this.#lastSeenAt = now;
    }

    /**
     * Notes the load that came with an answer.
     * @returns The requests of other nodes among it.
     */
    addLoadReport(load: ReportedRequests, now: number): number {
        this.#otherRequests = Math.max(0, load.requests - this.#inFlight);
        this.#reportedAt = now;
        return this.#otherRequests;
    }

    /**
     * Notes a call that ended.
     * @param outcome - How.
     * @param now - Monotonic milliseconds.
     */
    finish(outcome: CallOutcome, now: number): void {
        this.#inFlight -= 1;
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

    /**
     * Tells whether the upstream fails so much more than its pool that it should get nothing for a while.
     * @param poolFailureRate - Failure rate over the whole pool.
     */
    isOutlier(poolFailureRate: number): boolean {
        return this.#unresponsiveFailures >= maxUnresponsiveFailures || this.getFailureRate() > poolFailureRate + 0.25;
    }

    /**
     * Gives the upstream nothing new for a while, longer each time.
     * @param now - Monotonic milliseconds.
     * @returns For how long, in milliseconds.
     */
    eject(now: number): number {
        const milliseconds = Math.min(maxEjectionMilliseconds, initialEjectionMilliseconds * 2 ** this.#ejections);
        this.#ejections += 1;
        this.#ejectedUntil = now + milliseconds;
        // One more failure after its return ejects it again; one success and it is given more.
        this.#unresponsiveFailures = Math.min(this.#unresponsiveFailures, maxUnresponsiveFailures - 1);
        this.#failureRate /= 2;
        return milliseconds;
    }
}
