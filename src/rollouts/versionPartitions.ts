/**
 * A pool's upstreams by version.
 */
import type { RegisteredUpstream } from "../fleet/index.js";

/** What upstreams are divided by. */
export interface PartitionKey {
    /** Versions that serve nothing any more; a set that changes is another set. */
    readonly reverted: ReadonlySet<string> | undefined;
    /** The version that a roll-out moves to, if there is one. */
    readonly candidate: string | undefined;
}

/** Upstreams by version. */
export interface VersionPartition {
    /** All but those of reverted versions. */
    readonly eligible: readonly RegisteredUpstream[];
    /** Those of the version that a roll-out moves to. */
    readonly candidateUpstreams: readonly RegisteredUpstream[];
    /** The other sound ones. */
    readonly currentUpstreams: readonly RegisteredUpstream[];
}

interface CachedPartition {
    readonly key: PartitionKey;
    readonly partition: VersionPartition;
}

/**
 * Divides each list of upstreams once. The same lists come back for every request until something changes, so that whatever the
 * choice of an upstream works out for a list of hundreds can be kept too.
 */
export class VersionPartitions {
    readonly #cache = new WeakMap<readonly RegisteredUpstream[], CachedPartition>();

    /**
     * Returns the upstreams by version.
     * @param upstreams - A list; one that changes is another list.
     * @param key - What it is divided by.
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
