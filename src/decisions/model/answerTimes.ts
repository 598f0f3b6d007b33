/**
 * How long whole answers and ratings take, from which the wait for a cascade's first answer is told beforehand.
 */
import type { Clock } from "../../common/index.js";

/** Weights of a new value, as TCP takes them for its retransmission timer (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Mean deviations above the mean below which about 95 in 100 values lie. */
const highDeviations = 2;
/**
 * Age after which a time is forgotten. A version that was slow for a while is used less, so that it gives no new times:
 * its old ones would keep it out for good.
 */
const keptMilliseconds = 60_000;
/** Classes that are kept. Callers name them, so there may be any number. */
const maximumClasses = 1024;

/** Times of one answer, in milliseconds. */
export interface AnswerTime {
    readonly firstToken: number;
    readonly whole: number;
}

interface VersionTimes {
    readonly firstToken: SmoothedTime;
    readonly whole: SmoothedTime;
}

/** Learns how long answers take. */
export class AnswerTimes {
    readonly #clock: Clock;
    /** By class, and by version within it. */
    readonly #classes = new Map<string, Map<string, VersionTimes>>();
    readonly #rating = new SmoothedTime();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds an answer.
     * @param version - Identifier of the version.
     * @param requestClass - The class of the request.
     * @param time - How long it took.
     */
    add(version: string, requestClass: string, time: AnswerTime): void {
        const now = this.#clock.monotonic();
        const versions = this.#classes.get(requestClass) ?? new Map<string, VersionTimes>();
        const times = versions.get(version) ?? { firstToken: new SmoothedTime(), whole: new SmoothedTime() };
        times.firstToken.add(time.firstToken, now);
        times.whole.add(time.whole, now);
        versions.set(version, times);
        this.#classes.delete(requestClass);
        this.#classes.set(requestClass, versions);
        if (this.#classes.size > maximumClasses) {
            this.#classes.delete(this.#classes.keys().next().value as string);
        }
    }

    /**
     * Adds a rating.
     * @param milliseconds - How long it took.
     */
    addRating(milliseconds: number): void {
        this.#rating.add(milliseconds, this.#clock.monotonic());
    }

    /**
     * Returns how long a caller may have to wait for the first token of a cascade: its first answer is held back until
     * it is whole and rated, and may be followed by the second one. A version without times is taken to be as slow as
     * the slowest one of the class; without any the wait is unknown.
     * @param requestClass - The class of the request.
     * @param first - Identifier of the version that answers first.
     * @param second - Identifier of the version that answers what the first one did not answer well.
     */
    getHoldMilliseconds(requestClass: string, first: string, second: string): number | undefined {
        const versions = this.#classes.get(requestClass);
        if (versions === undefined) {
            return undefined;
        }
        const now = this.#clock.monotonic();
        const whole = getHigh(versions, first, times => times.whole.getHigh(now));
        const firstToken = getHigh(versions, second, times => times.firstToken.getHigh(now));
        if (whole === undefined || firstToken === undefined) {
            return undefined;
        }
        return whole + (this.#rating.getHigh(now) ?? 0) + firstToken;
    }
}

class SmoothedTime {
    #mean = 0;
    #deviation = 0;
    #addedAt = -Infinity;

    add(milliseconds: number, now: number): void {
        if (now - this.#addedAt > keptMilliseconds) {
            this.#mean = milliseconds;
            this.#deviation = milliseconds / 2;
        }
        else {
            this.#deviation += deviationWeight * (Math.abs(milliseconds - this.#mean) - this.#deviation);
            this.#mean += meanWeight * (milliseconds - this.#mean);
        }
        this.#addedAt = now;
    }

    /** Returns the time within which about 95 in 100 stay, or `undefined` without a recent one. */
    getHigh(now: number): number | undefined {
        return now - this.#addedAt > keptMilliseconds
            ? undefined
            : this.#mean + highDeviations * this.#deviation;
    }
}

/** Gets a time of a version, or the longest of its class when it has none of its own. */
function getHigh(
    versions: ReadonlyMap<string, VersionTimes>,
    version: string,
    select: (times: VersionTimes) => number | undefined,
): number | undefined {
    const own = versions.get(version);
    const known = own === undefined ? undefined : select(own);
    if (known !== undefined) {
        return known;
    }
    let longest: number | undefined;
    for (const times of versions.values()) {
        const time = select(times);
        longest = time === undefined ? longest : Math.max(longest ?? 0, time);
    }
    return longest;
}
