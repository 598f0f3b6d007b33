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
const maxAgeMilliseconds = 60_000;
/** Classes that are kept. Callers name them, so there may be any number. */
const maxClasses = 1024;

/** Times of one answer, in milliseconds. */
export interface AnswerTime {
    readonly firstToken: number;
    readonly total: number;
}

interface VersionTimes {
    readonly firstToken: SmoothedTime;
    readonly total: SmoothedTime;
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
        const times = versions.get(version) ?? { firstToken: new SmoothedTime(), total: new SmoothedTime() };
        times.firstToken.add(time.firstToken, now);
        times.total.add(time.total, now);
        versions.set(version, times);
        this.#classes.delete(requestClass);
        this.#classes.set(requestClass, versions);
        if (this.#classes.size > maxClasses) {
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
    getCascadeWaitMilliseconds(requestClass: string, first: string, second: string): number | undefined {
        const versions = this.#classes.get(requestClass);
        if (versions === undefined) {
            return undefined;
        }
        const now = this.#clock.monotonic();
        const total = getUpperBoundOrLongest(versions, first, times => times.total.getUpperBound(now));
        const firstToken = getUpperBoundOrLongest(versions, second, times => times.firstToken.getUpperBound(now));
        if (total === undefined || firstToken === undefined) {
            return undefined;
        }
        return total + (this.#rating.getUpperBound(now) ?? 0) + firstToken;
    }
}

class SmoothedTime {
    #mean = 0;
    #deviation = 0;
    #addedAt = -Infinity;

    add(milliseconds: number, now: number): void {
        if (now - this.#addedAt > maxAgeMilliseconds) {
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
    getUpperBound(now: number): number | undefined {
        return now - this.#addedAt > maxAgeMilliseconds
            ? undefined
            : this.#mean + highDeviations * this.#deviation;
    }
}

/** Gets a time of a version, or the longest of its class when it has none of its own. */
function getUpperBoundOrLongest(
    versions: ReadonlyMap<string, VersionTimes>,
    version: string,
    select: (times: VersionTimes) => number | undefined,
): number | undefined {
    const own = versions.get(version);
    const ownTime = own === undefined ? undefined : select(own);
    if (ownTime !== undefined) {
        return ownTime;
    }
    let longest: number | undefined;
    for (const times of versions.values()) {
        const time = select(times);
        longest = time === undefined ? longest : Math.max(longest ?? 0, time);
    }
    return longest;
}
