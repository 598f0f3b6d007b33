/** What a plan is asked for. */
import type { ModelVersion } from "../../world/index.js";

/** What a plan is chosen for. */
export interface ModelRequest {
    readonly requestClass: string;
    /** The versions that the workspace allows and that take new work. */
    readonly candidates: readonly ModelVersion[];
    /** Expected rated quality to reach, from 0 to 1. */
    readonly targetQuality: number;
    /** Probability with which the target is to be met, such as 0.95. */
    readonly confidence: number;
    readonly inputTokens: number;
    readonly outputTokens: number;
    /** Whether the rating service answers; without it there are no cascades and nothing is tried. True by default. */
    readonly ratingsAvailable?: boolean;
    /**
     * Tells whether a cascade's first token comes in time, although its first answer is held back until it is rated. By
     * default every cascade's does.
     */
    readonly isCascadeInTime?: (first: ModelVersion, second: ModelVersion) => boolean;
}
