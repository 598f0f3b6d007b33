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
const leastOutcomes = 4;
const firstEjectionMilliseconds = 1_000;
const longestEjectionMilliseconds = 8_000;
/** Failures in a row, with no answer of any kind, after which an upstream is taken to be away. */
const mostSilentFailures = 2;

/**
 * How a call to an upstream ended, for what is learned of it.
 * - `error`: it answered with a failure of its own.
 * - `failed`: the answer broke off.
 * - `silent`: nothing came in the time that was allowed, or no connection came about.
 * - `refused`: it had no room; that says nothing of its health.
 */
export type CallOutcome = "ok" | "error" | "failed" | "silent" | "refused" | "cancelled";

/** A silent call at an upstream that was heard otherwise within this time failed by itself, in milliseconds. */
const heardMilliseconds = 800;

/** Learns one upstream. */
export class UpstreamStatus {
    #inFlight = 0;
    #readingMilliseconds = 0;
    #heardAt = Number.NEGATIVE_INFINITY;
    /** Requests of other nodes, by the last report. */
    #others = 0;
    #reportedAt = Number.NEGATIVE_INFINITY;
    #failureRate = 0;
    #outcomes = 0;
    #silentFailures = 0;
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
     * @param usualOthers - Requests of other nodes that an upstream of the pool usually has.
     */
    getRequests(now: number, usualOthers: number): number {
        const share = 0.5 ** ((now - this.#reportedAt) / loadHalfLifeMilliseconds);
        return this.#inFlight + usualOthers + (this.#others - usualOthers) * share;
    }

    /** Returns the smoothed share of calls that failed. */
    getFailureRate(): number {
        return this.#outcomes < leastOutcomes ? 0 : this.#failureRate;
    }

    /**
     * Tells whether the upstream gets nothing new for now.
     * @param now - Monotonic milliseconds.
     */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Returns the time that the prompts of this node take to be read there that have no answer yet, in milliseconds. */
    getReading(): number {
        return this.#readingMilliseconds;
    }

    /** Notes a call that begins. */
    begin(): void {
        this.#inFlight += 1;
    }

    /**
     * Notes that a prompt waits to be read, or no longer does.
     * @param milliseconds - Time that reading it takes; negative when it has been read.
     */
    addReading(milliseconds: number): void {
        this.#readingMilliseconds = Math.max(0, this.#readingMilliseconds + milliseconds);
    }

    /** Notes that something came from the upstream. */
    markHeard(now: number): void {
        this.#heardAt = now;
    }

    /**
     * Notes the load that came with an answer.
     * @returns The requests of other nodes among it.
     */
    report(load: ReportedRequests, now: number): number {
        this.#others = Math.max(0, load.requests - this.#inFlight);
        this.#reportedAt = now;
        return this.#others;
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
        const isHeard = now - this.#heardAt < heardMilliseconds;
        this.#silentFailures = outcome === "silent" && !isHeard ? this.#silentFailures + 1 : 0;
        if (outcome === "ok" && this.#failureRate < outcomeWeight) {
            this.#ejections = 0;
        }
    }

    /**
     * Tells whether the upstream fails so much more than its pool that it should get nothing for a while.
     * @param poolFailureRate - Failure rate over the whole pool.
     */
    isOutlier(poolFailureRate: number): boolean {
        return this.#silentFailures >= mostSilentFailures || this.getFailureRate() > poolFailureRate + 0.25;
    }

    /**
     * Gives the upstream nothing new for a while, longer each time.
     * @param now - Monotonic milliseconds.
     * @returns For how long, in milliseconds.
     */
    eject(now: number): number {
        const milliseconds = Math.min(longestEjectionMilliseconds, firstEjectionMilliseconds * 2 ** this.#ejections);
        this.#ejections += 1;
        this.#ejectedUntil = now + milliseconds;
        // One more failure after its return ejects it again; one success and it is given more.
        this.#silentFailures = Math.min(this.#silentFailures, mostSilentFailures - 1);
        this.#failureRate /= 2;
        return milliseconds;
    }
}
