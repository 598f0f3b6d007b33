/**
 * Expected time for which the waiting requests of other nodes keep an upstream busy.
 */
import type { RandomSource } from "../../common/index.js";
import type { RegisteredUpstream } from "../../fleet/index.js";
import type { UpstreamStatus } from "./upstreamStatus.js";

/** Weight of the latest answer in the mean work of a request, which spans about the last fifty answers. */
const workWeight = 0.02;
/** Weight of the latest report in the mean wait of a failure domain, which spans about the last twenty reports. */
const waitWeight = 0.05;
/**
 * Half-life of the difference between the mean waits of another failure domain and this node's own, in milliseconds. Without it, a
 * domain that was full once would never be tried again.
 */
const farHalfLifeMilliseconds = 1_500;

/**
 * Half-life of the difference between the reported and the mean waiting requests, in terms of the mean work of a request: soon after,
 * what waited then has been done.
 */
const waitingHalfLifeRequests = 2;
/**
 * Scale of the random cost of an upstream with a fresh report, in requests: about what other nodes that read the same report send before
 * it has lost its weight.
 */
const spreadRequests = 4;
/** Weight of a report from which the random cost matters. */
const minSpreadWeight = 0.05;
/** Mean of the standard Gumbel distribution. */
const meanGumbel = 0.577;

interface MeanWait {
    /** Waiting requests of other nodes at an upstream of usual pace. */
    requests: number;
    updatedAt: number;
}

/** Learns what reported numbers of waiting requests mean in time. */
export class ExpectedWaits {
    readonly #failureDomain: string;
    /** Mean prefill time of a request, in milliseconds at an upstream of usual pace, by pool. */
    readonly #meanWork = new Map<string, number>();
    /** By pool and failure domain. */
    readonly #meanWaits = new Map<string, Map<string, MeanWait>>();

    /** @param failureDomain - Failure domain of this node. */
    constructor(failureDomain: string) {
        this.#failureDomain = failureDomain;
    }

    /**
     * Adds the work of a request that was answered.
     * @param pool - Name of the pool.
     * @param milliseconds - Its prefill time at an upstream of usual pace.
     */
    addWork(pool: string, milliseconds: number): void {
        const mean = this.#meanWork.get(pool);
        this.#meanWork.set(pool, mean === undefined ? milliseconds : mean + workWeight * (milliseconds - mean));
    }

    /**
     * Returns the mean prefill time of a request, in milliseconds at an upstream of usual pace; 0 before the first answer.
     * @param pool - Name of the pool.
     */
    getMeanWork(pool: string): number {
        return this.#meanWork.get(pool) ?? 0;
    }

    /**
     * Adds a report of waiting requests.
     * @param upstream - The upstream.
     * @param otherWaiting - Waiting requests of other nodes.
     * @param pace - Time that the upstream needs for the same work, relative to usual.
     * @param now - Monotonic milliseconds.
     */
    addReport({ pool, failureDomain }: RegisteredUpstream, otherWaiting: number, pace: number, now: number): void {
        const requests = otherWaiting * pace;
        const waits = this.#meanWaits.get(pool) ?? new Map<string, MeanWait>();
        this.#meanWaits.set(pool, waits);
        const mean = waits.get(failureDomain);
        if (mean === undefined) {
            waits.set(failureDomain, { requests, updatedAt: now });
            return;
        }
        mean.requests += waitWeight * (requests - mean.requests);
        mean.updatedAt = now;
    }

    /** Returns whether the upstreams of a pool report their waiting requests. */
    isKnown(pool: string): boolean {
        return this.#meanWaits.has(pool);
    }

    /**
     * Returns the expected time for which waiting requests of other nodes keep an upstream busy, in milliseconds at usual pace.
     * @param upstream - The upstream.
     * @param status - What is known of it.
     * @param pace - Time that it needs for the same work, relative to usual.
     * @param now - Monotonic milliseconds.
     */
    getOthersMilliseconds(upstream: RegisteredUpstream, status: UpstreamStatus, pace: number, now: number): number {
        const mean = this.#getMeanRequests(upstream, now) / pace;
        const weight = this.#getReportWeight(upstream.pool, status, now);
        return status.getOtherWaiting(mean, weight) * this.getMeanWork(upstream.pool);
    }

    /**
     * Draws a random cost with mean 0, in milliseconds, which spreads nodes that have read the same report. It has the Gumbel
     * distribution, with which the share of an upstream falls exponentially with its expected time.
     * @param pool - Name of the pool.
     * @param status - What is known of the upstream.
     * @param now - Monotonic milliseconds.
     * @param random - Source of randomness.
     */
    drawSpread(pool: string, status: UpstreamStatus, now: number, random: RandomSource): number {
        const weight = this.#getReportWeight(pool, status, now);
        if (weight < minSpreadWeight) {
            return 0;
        }
        const gumbel = -Math.log(-Math.log(Math.max(Number.MIN_VALUE, random.next())));
        return (meanGumbel - gumbel) * weight * spreadRequests * this.getMeanWork(pool);
    }

    /** Returns the weight of an upstream's last report, from 0 to 1. Requests wait for as long as the work of a few others takes. */
    #getReportWeight(pool: string, status: UpstreamStatus, now: number): number {
        const halfLife = this.getMeanWork(pool) * waitingHalfLifeRequests;
        return halfLife === 0 ? 0 : 0.5 ** (status.getReportAge(now) / halfLife);
    }

    /** Other failure domains are assumed to be as busy as this node's own, unless recent reports say otherwise. */
    #getMeanRequests({ pool, failureDomain }: RegisteredUpstream, now: number): number {
        const waits = this.#meanWaits.get(pool);
        const near = waits?.get(this.#failureDomain)?.requests ?? 0;
        const mean = waits?.get(failureDomain);
        if (mean === undefined || failureDomain === this.#failureDomain) {
            return near;
        }
        return near + (mean.requests - near) * 0.5 ** ((now - mean.updatedAt) / farHalfLifeMilliseconds);
    }
}
