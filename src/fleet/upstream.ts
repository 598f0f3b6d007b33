/**
 * Upstreams as registered with the platform: model runners and instances of plain services.
 */

/** A model that a runner has loaded. */
export interface LoadedModel {
    readonly name: string;
    /** Version of its weights. */
    readonly weightsVersion: number;
}

/** An upstream that accepts requests or is leaving. */
export interface RegisteredUpstream {
    readonly id: string;
    /** `HOST:PORT`. */
    readonly address: string;
    readonly pool: string;
    readonly failureDomain: string;
    /** Version of its software, which roll-outs change. */
    readonly version: string;
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Unix time of its start in milliseconds, if registered. A restart under the same identifier discards all earlier state. */
    readonly startedAt: number | undefined;
    /** Remaining warm-up time when the record was written, in milliseconds; 0 for a warm upstream. */
    readonly warmUpMilliseconds: number;
    readonly models: readonly LoadedModel[];
    /** Grows with each record of the upstream; undefined if it does not number them. */
    readonly sequenceNumber?: number | undefined;
}

/** Returns whether two records are of one life of an upstream. After a restart it has a new start time, or another address. */
export function isSameIncarnation(first: RegisteredUpstream, second: RegisteredUpstream): boolean {
    return first.address === second.address && first.startedAt === second.startedAt;
}
