/**
 * Requests for room at a pool, and the decisions on them.
 */

/** A request that needs room. */
export interface RoomRequest {
    readonly workspace: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Expected work, in any unit that is the same for all requests of the pool. */
    readonly work: number;
    readonly bytes: number;
    /** Time left to meet the objective; may be negative. */
    readonly objectiveMilliseconds: number;
    /** Time left until an answer is of no use. */
    readonly deadlineMilliseconds: number;
    /**
     * Identifies the caller's request, so that its repeats are recognized. Undefined when others cannot be told from its repeats.
     * Called only at a full pool.
     */
    readonly getCaller: () => string | undefined;
}

/**
 * Why a request was turned away.
 * - `late`: it could not be answered before its deadline.
 * - `early`: its caller repeated it before the time that it was told.
 * - `crowded`: too many requests wait.
 */
export type RoomRefusalReason = "late" | "early" | "crowded";

/** What a decision was based on. */
export interface RoomBasis {
    readonly waitedMilliseconds: number;
    readonly expectedWaitMilliseconds: number;
    /** Part of the pool's room that this node may use. */
    readonly share: number;
    /** Requests of all nodes as a share of the slots; undefined when not known. */
    readonly occupancy: number | undefined;
    /** Number of this node's requests that wait. */
    readonly waiting: number;
}

/** Decision on a request. */
export type RoomDecision =
    | {
        readonly kind: "begin";
        /** Whether it had to wait, however short. */
        readonly hasWaited: boolean;
        readonly basis: RoomBasis;
    }
    | {
        readonly kind: "turned-away";
        readonly reason: RoomRefusalReason;
        readonly retryAfterMilliseconds: number;
        readonly basis: RoomBasis;
    };
