/**
 * The upstreams that have ended lately, which shows whether several have ended at the same time.
 */
import { getIncarnationKey, type UpstreamIncarnation } from "./lastSigns.js";

/** How long an end is remembered, in milliseconds: until all runs of that time have fallen silent and were looked at. */
const retentionMilliseconds = 5_000;

/** When an upstream has ended, as far as it is known, in milliseconds of monotonic time. Both are the same where the time is known. */
export interface EndTime {
    readonly earliest: number;
    readonly latest: number;
}

/** Remembers which upstreams have ended, or may have, and when. */
export class RecentEnds {
    /** By the life of the upstream, the one that was added first at the beginning. */
    readonly #ends = new Map<string, EndTime>();

    /**
     * Adds what a run tells of the end of its upstream. What others tell that was not heard since then adds nothing: connections to an upstream
     * that has ended may break for as long as it is down.
     * @param heardAt - When the upstream was last heard.
     */
    add(upstream: UpstreamIncarnation, time: EndTime, heardAt: number): void {
        const key = getIncarnationKey(upstream);
        const known = this.#ends.get(key);
        this.#ends.delete(key);
        this.#ends.set(key, known !== undefined && isTimeKnown(known) && known.latest >= heardAt ? known : time);
        for (const [oldest, { latest }] of this.#ends) {
            if (latest > time.latest - retentionMilliseconds) {
                return;
            }
            this.#ends.delete(oldest);
        }
    }

    /** Removes an upstream that has not ended. */
    remove(upstream: UpstreamIncarnation): void {
        this.#ends.delete(getIncarnationKey(upstream));
    }

    /**
     * Returns how many others have ended at one moment at which an upstream may have ended. Counts those whose time is known.
     * @param margin - By how much the times of two that end at the same moment differ at most, in milliseconds.
     */
    countOthers(upstream: UpstreamIncarnation, { earliest, latest }: EndTime, margin: number): number {
        const key = getIncarnationKey(upstream);
        const times: number[] = [];
        for (const [other, end] of this.#ends) {
            if (other !== key && isTimeKnown(end) && end.latest >= earliest - margin && end.latest <= latest + margin) {
                times.push(end.latest);
            }
        }
        return isTimeKnown({ earliest, latest }) ? times.length : countLargestGroup(times, margin);
    }
}

function isTimeKnown({ earliest, latest }: EndTime): boolean {
    return earliest === latest;
}

/** Returns the largest number of times that lie within a margin. */
function countLargestGroup(times: readonly number[], margin: number): number {
    const sorted = [...times].sort((left, right) => left - right);
    let largest = 0;
    let first = 0;
    for (const [last, time] of sorted.entries()) {
        while (time - sorted[first] > margin) {
            first += 1;
        }
        largest = Math.max(largest, last - first + 1);
    }
    return largest;
}
