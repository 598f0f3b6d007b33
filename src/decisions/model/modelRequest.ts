/** The input of a plan choice. */
import type { ModelVersion } from "../../world/index.js";

/** A request that a plan is chosen for. */
export interface ModelRequest {
    readonly requestClass: string;
    /** The versions that the workspace allows and that accept new requests. */
    readonly candidates: readonly ModelVersion[];
    /** Expected rated quality to reach, from 0 to 1. */
    readonly targetQuality: number;
    /** Probability with which the target must be met, such as 0.95. */
    readonly confidence: number;
    readonly inputTokens: number;
    readonly outputTokens: number;
    /**
     * Whether the rating service is available. Without it there are no cascades and no explorations. True by default.
     */
    readonly areRatingsAvailable?: boolean;
    /**
     * Checks whether a cascade's first token arrives in time, although its first answer is held back until it is rated.
     * By default it does for every cascade.
     */
    readonly isCascadeInTime?: (first: ModelVersion, second: ModelVersion) => boolean;
}
