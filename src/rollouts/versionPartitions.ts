/**
 * A pool's upstreams by version.
 */
import type { RegisteredUpstream } from "../fleet/index.js";

/** The key of a partition. */
export interface PartitionKey {
    /** Versions that serve nothing any more. The set is immutable: a change creates a new one. */
    readonly reverted: ReadonlySet<string> | undefined;
    /** The version that a roll-out moves to, if there is one. */
    readonly candidate: string | undefined;
}

/** A pool's upstreams by version. */
export interface VersionPartition {
    /** All upstreams except those of reverted versions. */
    readonly eligible: readonly RegisteredUpstream[];
    /** Eligible upstreams of the version that a roll-out moves to. */
    readonly candidateUpstreams: readonly RegisteredUpstream[];
    /** All other eligible upstreams. */
    readonly currentUpstreams: readonly RegisteredUpstream[];
}

interface CachedPartition {
    readonly key: PartitionKey;
    readonly partition: VersionPartition;
}

/**
 * Partitions each list of upstreams once and caches the result. All requests get the same lists until something
 * changes, so that values which the choice of an upstream computes for a list of hundreds can be cached too.
 */
export class VersionPartitions {
    readonly #cache = new WeakMap<readonly RegisteredUpstream[], CachedPartition>();

    /**
     * Returns the upstreams by version.
     * @param upstreams - An immutable list: a change creates a new one.
     * @param key - The key of the partition.
     */
    get(upstreams: readonly RegisteredUpstream[], key: PartitionKey): VersionPartition {
        const cached = this.#cache.get(upstreams);
        if (cached !== undefined && cached.key.reverted === key.reverted && cached.key.candidate === key.candidate) {
            return cached.partition;
        }
        const partition = partitionByVersion(upstreams, key);
        this.#cache.set(upstreams, { key, partition });
        return partition;
    }
}

function partitionByVersion(
    upstreams: readonly RegisteredUpstream[],
    { reverted, candidate }: PartitionKey,
): VersionPartition {
    const eligible = reverted === undefined || reverted.size === 0
        ? upstreams
        : upstreams.filter(({ version }) => !reverted.has(version));
    return {
        eligible,
        candidateUpstreams: eligible.filter(({ version }) => version === candidate),
        currentUpstreams: eligible.filter(({ version }) => version !== candidate),
    };
}
