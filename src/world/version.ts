/**
 * Models and their versions.
 */

/**
 * Lifecycle status of a version.
 * - `candidate`: takes new work only as far as a roll-out exposes it.
 * - `serving`: takes any new work.
 * - `draining`: takes new requests of existing sessions, but no new sessions.
 * - `withdrawn`: takes no new work.
 */
export type VersionStatus = "candidate" | "serving" | "draining" | "withdrawn";

/** Represents a version of a model. */
export interface ModelVersion {
    /** `MODEL@VERSION`, such as `plan-large@3`. */
    readonly id: string;
    readonly model: string;
    readonly status: VersionStatus;
    /** Price of one million input tokens, in the site's currency. */
    readonly inputPrice: number;
    /** Price of one million output tokens, in the site's currency. */
    readonly outputPrice: number;
    /** Quality (0 to 1) that the operator expects before any ratings are available. */
    readonly expectedQuality: number;
}

/** Returns the price of one answer, in the site's currency. */
export function getPrice(version: ModelVersion, inputTokens: number, outputTokens: number): number {
    return (inputTokens * version.inputPrice + outputTokens * version.outputPrice) / 1_000_000;
}
