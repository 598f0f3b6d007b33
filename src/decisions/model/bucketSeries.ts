/**
 * A series of counts in time: fine steps for what is recent, ever coarser ones for what is old. Its size is bounded
 * by the logarithm of the time that it covers, and it still tells when a version changed.
 */
import { Tally } from "./tally.js";

const bucketsPerLevel = 3;
const levelCount = 14;

/** Counts of `2 ** level` epochs that begin at `start`. */
export interface Bucket {
    /** The first epoch; a multiple of `2 ** level`. */
    readonly start: number;
    readonly level: number;
    readonly tally: Tally;
}

/** One bucket as it travels: start, level, then the encoded tally. */
export type EncodedBucket = readonly number[];

/** Holds the buckets of one version and class that one node has counted. */
export class BucketSeries {
    /** In ascending order of start. */
    #buckets: Bucket[] = [];

    /** Reads a series back from what `encode` returned. */
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
     * Gets the tally that counts an epoch; adds one where there is none.
     * @param epoch - The epoch in which the answer was given; it may be an old one, since ratings come late.
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

    /** Returns the series as arrays of numbers. */
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

    /** Moves the oldest bucket of a level into the next coarser one; drops it at the coarsest level. */
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
