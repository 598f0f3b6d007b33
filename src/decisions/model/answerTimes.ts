/**
 * Smoothed durations of complete answers and ratings, used to predict the wait for the first token of a cascade.
 */
import type { Clock } from "../../common/index.js";

/** Smoothing factors as in TCP's retransmission timer (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
/** Number of mean deviations above the mean below which about 95 % of the values lie. */
const highDeviations = 2;
/**
 * Age after which a duration expires. A version that was slow for a while is used less and so yields no new durations.
 * Without expiry its old ones would exclude it permanently.
 */
const maxAgeMilliseconds = 60_000;
/** Maximum number of classes in memory. Callers choose the names, so the number of classes is unbounded. */
const maxClasses = 1024;

/** Durations of one answer, in milliseconds. */
export interface AnswerTime {
    readonly firstToken: number;
    readonly total: number;
}

interface VersionTimes {
    readonly firstToken: SmoothedTime;
    readonly total: SmoothedTime;
}

/** Records how long answers and ratings take. */
export class AnswerTimes {
    readonly #clock: Clock;
    /** By class, then by version. */
    readonly #classes = new Map<string, Map<string, VersionTimes>>();
    readonly #rating = new SmoothedTime();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds the durations of an answer.
     * @param version - Identifier of the version.
     * @param requestClass - The class of the request.
     * @param time - Its durations.
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
     * Adds the duration of a rating.
     * @param milliseconds - The duration.
     */
    addRating(milliseconds: number): void {
        this.#rating.add(milliseconds, this.#clock.monotonic());
    }

    /**
     * Returns an upper estimate of a caller's wait for the first token of a cascade. The first answer is held back
     * until it is complete and rated, and the second one may follow it. A version without durations is assumed to be as
     * slow as the slowest one of the class. Returns `undefined` if the class has no durations.
     * @param requestClass - The class of the request.
     * @param first - Identifier of the version that answers first.
     * @param second - Identifier of the version that answers if the first answer is rejected.
     */
    getCascadeWaitMilliseconds(requestClass: string, first: string, second: string): number | undefined {
        const versions = this.#classes.get(requestClass);
        if (versions === undefined) {
            return undefined;
        }
        const now = this.#clock.monotonic();
        const total = getUpperBoundOrMax(versions, first, times => times.total.getUpperBound(now));
        const firstToken = getUpperBoundOrMax(versions, second, times => times.firstToken.getUpperBound(now));
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

    /** Returns the duration that about 95 % of the values stay below, or `undefined` without a recent value. */
    getUpperBound(now: number): number | undefined {
        return now - this.#addedAt > maxAgeMilliseconds
            ? undefined
            : this.#mean + highDeviations * this.#deviation;
    }
}

/** Returns the upper bound of a version's duration, or the longest one of its class if the version has none. */
function getUpperBoundOrMax(
    versions: ReadonlyMap<string, VersionTimes>,
    version: string,
    select: (times: VersionTimes) => number | undefined,
): number | undefined {
    const own = versions.get(version);
    const ownTime = own === undefined ? undefined : select(own);
    if (ownTime !== undefined) {
        return ownTime;
    }
    let max: number | undefined;
    for (const times of versions.values()) {
        const time = select(times);
        max = time === undefined ? max : Math.max(max ?? 0, time);
    }
    return max;
}
