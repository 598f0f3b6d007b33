/**
 * Upstreams as they register themselves: model runners and instances of plain services.
 */

/** A model that a runner has loaded. */
export interface LoadedModel {
    readonly name: string;
    /** Version of its weights. */
    readonly weightsVersion: number;
}

/** An upstream that takes requests, or is about to leave. */
export interface RegisteredUpstream {
    readonly id: string;
    /** `HOST:PORT`. */
    readonly address: string;
    readonly pool: string;
    readonly failureDomain: string;
    /** Version of its software, which roll-outs move. */
    readonly version: string;
    /** Requests that it runs at a time. */
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Unix milliseconds of its start, where it says so. A new start under the same identifier knows nothing of before. */
    readonly startedAt: number | undefined;
    readonly models: readonly LoadedModel[];
}
