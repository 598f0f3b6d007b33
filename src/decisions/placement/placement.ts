/**
 * Input and result of the selection of a runner.
 */
import type { Vm } from "../../world/index.js";

/** Location of the entry that selects runners. */
export interface EntryLocation {
    readonly failureDomain: string;
    readonly region: string;
    /** Unique key of the entry, which determines its subset of runners. */
    readonly subsetKey: string;
}

/** A request that needs a runner. */
export interface PlacementRequest {
    /** The requested version; absent for plain services. */
    readonly version?: string;
    /** The upstream pool. Together with a version, the runner must match both. */
    readonly pool?: string;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly blocks: readonly string[];
    /** Identifiers of upstreams on which an attempt was already made. */
    readonly excluded: ReadonlySet<string>;
    /** Identifier of the upstream that served the session before. It is preferred, but not guaranteed to be selected. */
    readonly preferred?: string;
    /** Milliseconds left until the caller's deadline for the first token. */
    readonly deadlineMilliseconds: number;
}

/** Reason why a runner was selected, for events and tests. */
export type PlacementReason = "least-wait" | "cached-prefix" | "session" | "spill-over" | "panic";

/** Represents a selected runner. */
export interface Placement {
    readonly upstream: Vm;
    /** Expected time to the first token. */
    readonly expectedWaitMilliseconds: number;
    /** Estimated number of the request's blocks in the runner's prefix cache. */
    readonly cachedBlocks: number;
    readonly reason: PlacementReason;
    /** Blocks of the request, which are in the runner's cache after it. */
    readonly blocks: readonly string[];
}

/** Represents one change of a runner's prefix cache. */
export interface CacheEvent {
    readonly kind: "stored" | "removed" | "cleared";
    readonly block: string;
}

/** Outcome of a request on a runner. `refused` means that the runner rejected it before it did any work. */
export type WorkOutcome = "ok" | "failed" | "refused" | "cancelled";

/** Result of a request on a runner. */
export interface WorkResult {
    readonly outcome: WorkOutcome;
    /** Time from dispatch to end. */
    readonly milliseconds: number;
    /** The `X-Load` header of the answer: `running/waiting/capacity`. */
    readonly loadHeader?: string;
}
