/**
 * The upstreams that a roll-out leaves to a request.
 */
import type { RegisteredUpstream } from "../fleet/index.js";

/** The upstreams that may serve a request. */
export interface VersionSelection {
    readonly upstreams: readonly RegisteredUpstream[];
    /** Why these, for the log; undefined when no roll-out is under way. */
    readonly reason: string | undefined;
}
