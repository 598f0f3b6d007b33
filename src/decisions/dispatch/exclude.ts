/**
 * Exclusion of upstreams from a choice.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";

/** Filters out some upstreams. Returns the same array when none is excluded, since rankings are cached by array identity. */
export function exclude(
    upstreams: readonly RegisteredUpstream[],
    isExcluded: (upstream: RegisteredUpstream) => boolean,
): readonly RegisteredUpstream[] {
    return upstreams.some(isExcluded) ? upstreams.filter(upstream => !isExcluded(upstream)) : upstreams;
}
