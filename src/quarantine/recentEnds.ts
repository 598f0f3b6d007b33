/**
 * The upstreams that have ended lately, which shows whether several have ended at the same time.
 */
import { getIncarnationKey, type UpstreamIncarnation } from "./lastSigns.js";

/** How long an end is remembered, in milliseconds. */
const retentionMilliseconds = 2_000;

interface End {
    readonly key: string;
    /** Monotonic time. */
    readonly at: number;
}

/** Remembers which upstreams have ended, and when. */
export class RecentEnds {
    #ends: End[] = [];

    /** Adds the end of an upstream. Each run there may tell of it. */
    add(upstream: UpstreamIncarnation, at: number): void {
        const key = getIncarnationKey(upstream);
        this.#ends = this.#ends.filter(end => end.at > at - retentionMilliseconds);
        if (!this.#ends.some(end => end.key === key)) {
            this.#ends.push({ key, at });
        }
    }

    /** Returns whether another upstream has ended within a time before or after. */
    hasOther(upstream: UpstreamIncarnation, at: number, milliseconds: number): boolean {
        const key = getIncarnationKey(upstream);
        return this.#ends.some(end => end.key !== key && Math.abs(end.at - at) <= milliseconds);
    }
}
