/**
 * What a request asks of the choice of a runner, and what it gets.
 */
import type { Vm } from "../../world/index.js";

/** Where the choosing entry stands. */
export interface EntryLocation {
    readonly failureDomain: string;
    readonly region: string;
    /** Unique to the entry; decides which runners it talks to. */
    readonly subsetKey: string;
}

/** A request that needs a runner. */
export interface PlacementRequest {
    /** The version that has to run; absent for plain services. */
    readonly version?: string;
    /** The upstream pool; with a version, it narrows the choice further. */
    readonly pool?: string;
    /** Hashes of the prompt's prefixes, shortest first, longest last. */
    readonly blocks: readonly string[];
    /** Identifiers of upstreams that were tried already. */
    readonly exclude: ReadonlySet<string>;
    /** Identifier of the upstream that served the session before: a preference, never a promise. */
    readonly preferred?: string;
    /** Milliseconds that are left until the caller wants the first token. */
    readonly deadlineMilliseconds: number;
}

/** Why a runner was chosen; for events and tests. */
export type PlacementReason = "least-wait" | "cached-prefix" | "session" | "spill-over" | "panic";

/** A chosen runner. */
export interface Placement {
    readonly upstream: Vm;
    /** Expected time to the first token. */
    readonly expectedWaitMilliseconds: number;
    /** How many of the request's blocks the runner is believed to hold. */
    readonly cachedBlocks: number;
    readonly reason: PlacementReason;
    /** The blocks of the request, which the runner will hold after it. */
    readonly blocks: readonly string[];
}

/** One change of a runner's prefix cache. */
export interface CacheEvent {
    readonly kind: "stored" | "removed" | "cleared";
    readonly block: string;
}

/** How a piece of work ended. A `refused` one was turned down by the runner before it did anything. */
export type WorkOutcome = "ok" | "failed" | "refused" | "cancelled";

/** What is known of a piece of work when it ends. */
export interface WorkResult {
    readonly outcome: WorkOutcome;
    /** From dispatch to end. */
    readonly milliseconds: number;
    /** The `X-Load` header of the answer: `running/waiting/capacity`. */
    readonly loadHeader?: string;
}
