/**
 * What a served request counts for admission.
 */

/** Represents a served request, as the admission controller counts it. */
export interface ServedRequest {
    readonly outcome: "ok";
    readonly firstTokenMilliseconds: number;
    readonly tokens: number;
}
