/**
 * All that one entry knows of one runner, and how long it expects a request to wait there.
 */
import type { Vm } from "../../world/index.js";
import { Health } from "./health.js";
import { LoadEstimate } from "./loadEstimate.js";
import type { PlacementOptions } from "./options.js";
import type { PoolStatistics } from "./poolStatistics.js";

/** Characters of a block are 512; a token is about four characters. */
const tokensPerBlock = 128;
/** Fixed cost of a request, as if it had this many more tokens of prompt. */
const fixedTokens = 64;
/** One answer says little: queues and wrong hints come and go. Several in a row that all say the same say much. */
const slowdownSmoothing = 0.03;
const persistentSlowdownSmoothing = 0.3;
const persistentAnswers = 3;
const persistentLogRatio = Math.log(2);
/** Keeps the exponential finite; no queue is that long. */
const maxExcess = 500;
const slowdownLifetimeMilliseconds = 30_000;
const minRatio = 0.1;
const maxRatio = 50;

/** A runner (or plain service) as one entry sees it. */
export class Runner {
    readonly load: LoadEstimate;
    readonly health: Health;
    readonly poolStatistics: PoolStatistics;
    /** Its place in the entry's order of preference; the greatest first. */
    readonly rank: number;
    /** Network cost of reaching it. */
    readonly networkMilliseconds: number;
    readonly isNear: boolean;
    vm: Vm;
    versions: readonly string[] | undefined;
    isLeaving = false;
    /** Whether it says that it refuses orders with an old fencing number; undefined when it does not say. */
    checksFencing: boolean | undefined;
    readonly #options: PlacementOptions;
    /** When each request that still waits for its first token was sent; the oldest first. */
    readonly #waiting = new Map<object, number>();
    #logSlowdown = 0;
    #slowdownUpdatedAt = 0;
    /** Answers in a row that were far slower (positive) or far faster (negative) than this runner's pace. */
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

    /** Estimates the requests on the runner now, of this entry and of others. */
    getLoad(now: number): number {
        const averageOthers = this.poolStatistics.getAverageOtherRequests(this.load.getCapacity());
        return this.load.getOwnRequests()
            + this.load.getOtherRequests(now, averageOthers, this.#options.reportLifetimeMilliseconds);
    }

    /**
     * Returns how much slower than expected this runner answers. It is learned from answers alone, so a runner that
     * reports too little load is found out: what it promises by its report it does not keep. It fades, so that the
     * runner is tried again.
     */
    getSlowdown(now: number): number {
        return Math.exp(this.#logSlowdown * Math.exp(-(now - this.#slowdownUpdatedAt) / slowdownLifetimeMilliseconds));
    }

    /**
     * Expects the time to the first token.
     * @param now - Monotonic milliseconds.
     * @param uncachedBlocks - Blocks of prompt that the runner has to read.
     */
    getExpectedWait(now: number, uncachedBlocks: number): number {
        const expected = this.getModelledWait(now, uncachedBlocks) * this.getSlowdown(now);
        return Math.max(expected, this.#getOldestWait(now)) + this.networkMilliseconds;
    }

    /** Expects the time to the first token from load alone, as if the runner's reports were true. */
    getModelledWait(now: number, uncachedBlocks: number): number {
        const capacity = this.load.getCapacity();
        const load = this.getLoad(now);
        // Load is known within about a request. A runner that seems to have one place left has a queue half of the time.
        const excess = Math.log(1 + Math.exp(Math.min(maxExcess, load - capacity + 1)));
        const queue = excess * this.poolStatistics.getServiceMilliseconds() / capacity;
        const prefill = (fixedTokens + uncachedBlocks * tokensPerBlock)
            * this.poolStatistics.getPrefillMillisecondsPerToken();
        return queue + prefill * (1 + Math.min(1, load / capacity));
    }

    /** Notes that a request was sent. */
    addWaiting(work: object, now: number): void {
        this.#waiting.set(work, now);
    }

    /** Notes that a request no longer waits for its first token. */
    removeWaiting(work: object): void {
        this.#waiting.delete(work);
    }

    /**
     * Learns from a first token.
     * @param milliseconds - How long it took.
     * @param modelled - What was expected from load alone.
     * @param now - Monotonic milliseconds.
     * @returns How much slower than expected it came.
     */
    addFirstToken(milliseconds: number, modelled: number, now: number): number {
        const ratio = Math.min(maxRatio, Math.max(minRatio, milliseconds / Math.max(1, modelled)));
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
     * A runner that hangs gives no failure, only silence. The oldest request that still waits shows it: whoever comes
     * next must expect to wait at least as long.
     */
    #getOldestWait(now: number): number {
        for (const since of this.#waiting.values()) {
            return now - since;
        }
        return 0;
    }
}

/** Returns how many tokens of prompt a number of blocks stands for, the fixed cost included. */
export function getPrefillTokens(uncachedBlocks: number): number {
    return fixedTokens + uncachedBlocks * tokensPerBlock;
}
