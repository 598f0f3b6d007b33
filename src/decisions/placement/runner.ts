/**
 * State of one runner as one entry has observed it, and the expected time to first token of a request there.
 */
import type { Vm } from "../../world/index.js";
import { Health } from "./health.js";
import { LoadEstimate } from "./loadEstimate.js";
import type { PlacementOptions } from "./options.js";
import type { PoolStatistics } from "./poolStatistics.js";

/** A block has 512 characters, and a token about four. */
const tokensPerBlock = 128;
/** Fixed cost of a request, expressed in prompt tokens. */
const fixedTokens = 64;
/**
 * Smoothing factor for a single answer, which may be slow or fast because of a temporary queue or a wrong cache hint. Several consecutive
 * answers that deviate in the same direction are strong evidence and get the larger factor below.
 */
const slowdownSmoothing = 0.03;
const persistentSlowdownSmoothing = 0.3;
const persistentAnswers = 3;
const persistentLogRatio = Math.log(2);
/** Upper bound that keeps the exponential finite; it is beyond any real queue length. */
const maxExcess = 500;
const slowdownLifetimeMilliseconds = 30_000;
const minRatio = 0.1;
const maxRatio = 50;

/** Represents a runner or plain service as observed by one entry. */
export class Runner {
    readonly load: LoadEstimate;
    readonly health: Health;
    readonly poolStatistics: PoolStatistics;
    /** Rank in the entry's order of preference; higher ranks come first. */
    readonly rank: number;
    /** Network cost of a request to the runner. */
    readonly networkMilliseconds: number;
    readonly isNear: boolean;
    vm: Vm;
    versions: readonly string[] | undefined;
    isLeaving = false;
    /** Whether the runner reports that it rejects orders with an old fencing token; undefined when it does not report it. */
    checksFencing: boolean | undefined;
    readonly #options: PlacementOptions;
    /** Dispatch times of the requests that wait for their first token, earliest first. */
    readonly #waiting = new Map<object, number>();
    #logSlowdown = 0;
    #slowdownUpdatedAt = 0;
    /** Number of consecutive answers that were far slower (positive) or far faster (negative) than usual for this runner. */
    #outlierStreak = 0;

    constructor(options: {
        readonly vm: Vm;
        readonly poolStatistics: PoolStatistics;
        readonly rank: number;
        readonly networkMilliseconds: number;
        readonly isNear: boolean;
        readonly options: PlacementOptions;
    }) {
        this.vm = options.vm;
        this.poolStatistics = options.poolStatistics;
        this.rank = options.rank;
        this.networkMilliseconds = options.networkMilliseconds;
        this.isNear = options.isNear;
        this.#options = options.options;
        this.load = new LoadEstimate(options.options.defaultCapacity);
        this.health = new Health(options.options);
    }

    /** Returns the estimated number of requests on the runner, of this entry and of others. */
    getLoad(now: number): number {
        const averageOthers = this.poolStatistics.getAverageOtherRequests(this.load.getCapacity());
        return this.load.getOwnRequests()
            + this.load.getOtherRequests(now, averageOthers, this.#options.reportLifetimeMilliseconds);
    }

    /**
     * Returns the ratio of measured times to first token to those that follow from the reported load. It is updated by answers only, so
     * it reveals a runner that reports too little load: its answers take longer than the reports imply. It decays towards 1, so that
     * the runner gets requests again.
     */
    getSlowdown(now: number): number {
        return Math.exp(this.#logSlowdown * Math.exp(-(now - this.#slowdownUpdatedAt) / slowdownLifetimeMilliseconds));
    }

    /**
     * Returns the expected time to first token, including the network.
     * @param now - Monotonic milliseconds.
     * @param uncachedBlocks - Prompt blocks that the runner has to prefill.
     */
    getExpectedWait(now: number, uncachedBlocks: number): number {
        const expected = this.getModelledWait(now, uncachedBlocks) * this.getSlowdown(now);
        return Math.max(expected, this.#getOldestWait(now)) + this.networkMilliseconds;
    }

    /** Returns the time to first token that follows from the load, on the assumption that the runner's reports are correct. */
    getModelledWait(now: number, uncachedBlocks: number): number {
        const capacity = this.load.getCapacity();
        const load = this.getLoad(now);
        // The load is known to within about one request, so a runner with one estimated free slot has a queue half of the time.
        const excess = Math.log(1 + Math.exp(Math.min(maxExcess, load - capacity + 1)));
        const queue = excess * this.poolStatistics.getServiceMilliseconds() / capacity;
        const prefill = (fixedTokens + uncachedBlocks * tokensPerBlock)
            * this.poolStatistics.getPrefillMillisecondsPerToken();
        return queue + prefill * (1 + Math.min(1, load / capacity));
    }

    /** Records that a request was sent. */
    addWaiting(work: object, now: number): void {
        this.#waiting.set(work, now);
    }

    /** Records that a request no longer waits for its first token. */
    removeWaiting(work: object): void {
        this.#waiting.delete(work);
    }

    /**
     * Updates the slowdown with a measured time to first token.
     * @param milliseconds - The measured time.
     * @param modelledMilliseconds - The modelled time, see `getModelledWait`.
     * @param now - Monotonic milliseconds.
     * @returns The ratio of the measured to the modelled time, within bounds.
     */
    addFirstToken(milliseconds: number, modelledMilliseconds: number, now: number): number {
        const ratio = Math.min(maxRatio, Math.max(minRatio, milliseconds / Math.max(1, modelledMilliseconds)));
        const decayed = Math.log(this.getSlowdown(now));
        this.#logSlowdown = decayed
            + this.#getSlowdownSmoothing(Math.log(ratio) - decayed) * (Math.log(ratio) - decayed);
        this.#slowdownUpdatedAt = now;
        this.poolStatistics.addSlowdown(ratio);
        return ratio;
    }

    #getSlowdownSmoothing(difference: number): number {
        if (Math.abs(difference) < persistentLogRatio) {
            this.#outlierStreak = 0;
            return slowdownSmoothing;
        }
        const sign = Math.sign(difference);
        this.#outlierStreak = Math.sign(this.#outlierStreak) === sign ? this.#outlierStreak + sign : sign;
        return Math.abs(this.#outlierStreak) >= persistentAnswers ? persistentSlowdownSmoothing : slowdownSmoothing;
    }

    /**
     * Returns how long the oldest request without a first token has waited. A runner that hangs reports no failure; this detects it,
     * since a new request has to expect at least the same wait.
     */
    #getOldestWait(now: number): number {
        for (const since of this.#waiting.values()) {
            return now - since;
        }
        return 0;
    }
}

/** Returns the prompt tokens of a number of blocks, including the fixed cost of a request. */
export function getPrefillTokens(uncachedBlocks: number): number {
    return fixedTokens + uncachedBlocks * tokensPerBlock;
}
