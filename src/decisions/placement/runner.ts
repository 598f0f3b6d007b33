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
const paceSmoothing = 0.03;
const persistentPaceSmoothing = 0.3;
const persistentAnswers = 3;
const persistentLogRatio = Math.log(2);
/** Keeps the exponential finite; no queue is that long. */
const mostExcess = 500;
const paceLifetimeMilliseconds = 30_000;
const leastRatio = 0.1;
const greatestRatio = 50;

/** A runner (or plain service) as one entry sees it. */
export class Runner {
    readonly load: LoadEstimate;
    readonly health: Health;
    readonly pool: PoolStatistics;
    /** Its place in the entry's order of preference; the greatest first. */
    readonly rank: number;
    /** Network cost of reaching it. */
    readonly distanceMilliseconds: number;
    readonly isNear: boolean;
    vm: Vm;
    versions: readonly string[] | undefined;
    isLeaving = false;
    /** Whether it says that it refuses orders with an old fencing number; undefined when it does not say. */
    checksFencing: boolean | undefined;
    readonly #options: PlacementOptions;
    /** When each request that still waits for its first token was sent; the oldest first. */
    readonly #waiting = new Map<object, number>();
    #logPace = 0;
    #pacedAt = 0;
    /** Answers in a row that were far slower (positive) or far faster (negative) than this runner's pace. */
    #persistence = 0;

    constructor(options: {
        readonly vm: Vm;
        readonly pool: PoolStatistics;
        readonly rank: number;
        readonly distanceMilliseconds: number;
        readonly isNear: boolean;
        readonly options: PlacementOptions;
    }) {
        this.vm = options.vm;
        this.pool = options.pool;
        this.rank = options.rank;
        this.distanceMilliseconds = options.distanceMilliseconds;
        this.isNear = options.isNear;
        this.#options = options.options;
        this.load = new LoadEstimate(options.options.unknownCapacity);
        this.health = new Health(options.options);
    }

    /** Estimates the requests on the runner now, of this entry and of others. */
    getLoad(now: number): number {
        const usual = this.pool.getUsualOthers(this.load.getCapacity());
        return this.load.getOwn() + this.load.getOthers(now, usual, this.#options.reportLifetimeMilliseconds);
    }

    /**
     * Returns how much slower than expected this runner answers. It is learned from answers alone, so a runner that
     * reports too little load is found out: what it promises by its report it does not keep. It fades, so that the
     * runner is tried again.
     */
    getPace(now: number): number {
        return Math.exp(this.#logPace * Math.exp(-(now - this.#pacedAt) / paceLifetimeMilliseconds));
    }

    /**
     * Expects the time to the first token.
     * @param now - Monotonic milliseconds.
     * @param uncachedBlocks - Blocks of prompt that the runner has to read.
     */
    getExpectedWait(now: number, uncachedBlocks: number): number {
        const expected = this.getModelledWait(now, uncachedBlocks) * this.getPace(now);
        return Math.max(expected, this.#getOldestWait(now)) + this.distanceMilliseconds;
    }

    /** Expects the time to the first token from load alone, as if the runner's reports were true. */
    getModelledWait(now: number, uncachedBlocks: number): number {
        const capacity = this.load.getCapacity();
        const load = this.getLoad(now);
        // Load is known within about a request. A runner that seems to have one place left has a queue half of the time.
        const excess = Math.log(1 + Math.exp(Math.min(mostExcess, load - capacity + 1)));
        const queue = excess * this.pool.getServiceMilliseconds() / capacity;
        const reading = (fixedTokens + uncachedBlocks * tokensPerBlock) * this.pool.getTokenMilliseconds();
        return queue + reading * (1 + Math.min(1, load / capacity));
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
        const ratio = Math.min(greatestRatio, Math.max(leastRatio, milliseconds / Math.max(1, modelled)));
        const faded = Math.log(this.getPace(now));
        this.#logPace = faded + this.#getPaceSmoothing(Math.log(ratio) - faded) * (Math.log(ratio) - faded);
        this.#pacedAt = now;
        this.pool.addPace(ratio);
        return ratio;
    }

    #getPaceSmoothing(difference: number): number {
        if (Math.abs(difference) < persistentLogRatio) {
            this.#persistence = 0;
            return paceSmoothing;
        }
        const sign = Math.sign(difference);
        this.#persistence = Math.sign(this.#persistence) === sign ? this.#persistence + sign : sign;
        return Math.abs(this.#persistence) >= persistentAnswers ? persistentPaceSmoothing : paceSmoothing;
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
export function getReadingTokens(uncachedBlocks: number): number {
    return fixedTokens + uncachedBlocks * tokensPerBlock;
}
