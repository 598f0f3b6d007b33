/**
 * The upstreams that a request may use during a roll-out.
 */
import type { RegisteredUpstream } from "../fleet/index.js";

/** The upstreams that may serve a request. */
export interface VersionSelection {
    readonly upstreams: readonly RegisteredUpstream[];
    /** Reason for the selection, for the log. Undefined when no roll-out is in progress. */
    readonly reason: string | undefined;
}
