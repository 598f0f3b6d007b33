/**
 * A time series of counts with fine buckets for recent epochs and increasingly coarse ones for older epochs. Its size
 * grows with the logarithm of the covered time, and recent buckets stay fine enough to detect when a version changed.
 */
import { Tally } from "./tally.js";

const bucketsPerLevel = 3;
const levelCount = 14;

/** Counts of `2 ** level` epochs, starting at `start`. */
export interface Bucket {
    /** The first epoch; a multiple of `2 ** level`. */
    readonly start: number;
    readonly level: number;
    readonly tally: Tally;
}

/** A bucket as it is sent to other nodes: start, level, then the encoded tally. */
export type EncodedBucket = readonly number[];

/** Holds the buckets that one node has counted for one version and class. */
export class BucketSeries {
    /** Sorted by ascending start. */
    #buckets: Bucket[] = [];

    /** Decodes a series that `encode` returned. */
    static decode(encoded: readonly EncodedBucket[]): BucketSeries {
        const series = new BucketSeries();
        for (const [start, level, ...tally] of encoded) {
            series.#buckets.push({ start, level, tally: Tally.decode(tally) });
        }
        return series;
    }

    /** Returns the buckets, oldest first. */
    getBuckets(): readonly Bucket[] {
        return this.#buckets;
    }

    /**
     * Returns the tally of the bucket that contains an epoch. Creates the bucket if none contains it.
     * @param epoch - The epoch in which the answer was given. It may lie in the past, since ratings arrive late.
     */
    getTally(epoch: number): Tally {
        let index = this.#buckets.length;
        while (index > 0) {
            const bucket = this.#buckets[index - 1];
            if (bucket.start <= epoch) {
                if (epoch < bucket.start + 2 ** bucket.level) {
                    return bucket.tally;
                }
                break;
            }
            index -= 1;
        }
        const tally = new Tally();
        this.#buckets.splice(index, 0, { start: epoch, level: 0, tally });
        this.#compact();
        return tally;
    }

    /** Encodes the series as arrays of numbers. */
    encode(): readonly EncodedBucket[] {
        return this.#buckets.map(bucket => [bucket.start, bucket.level, ...bucket.tally.encode()]);
    }

    #compact(): void {
        for (let level = 0; level < levelCount; level += 1) {
            const members = this.#buckets.filter(bucket => bucket.level === level);
            if (members.length <= bucketsPerLevel) {
                continue;
            }
            this.#mergeIntoCoarserLevel(members[0]);
        }
    }

    /** Merges the oldest bucket of a level into the next coarser level. Drops it if the level is the coarsest one. */
    #mergeIntoCoarserLevel(oldest: Bucket): void {
        const width = 2 ** (oldest.level + 1);
        const start = Math.floor(oldest.start / width) * width;
        const covered = this.#buckets.filter(bucket => bucket.start >= start && bucket.start < start + width);
        this.#buckets = this.#buckets.filter(bucket => !covered.includes(bucket));
        if (oldest.level + 1 >= levelCount) {
            return;
        }
        const tally = new Tally();
        for (const bucket of covered) {
            tally.add(bucket.tally);
        }
        const index = this.#buckets.findIndex(bucket => bucket.start > start);
        this.#buckets.splice(index === -1 ? this.#buckets.length : index, 0, { start, level: oldest.level + 1, tally });
    }
}
