/**
 * Upstreams: model runners and plain services, and the load that they report.
 */

/** Represents an upstream's report of its load at the time `measuredAt`. */
export interface LoadReport {
    /** Identifier of the VM that runs the upstream. */
    readonly upstream: string;
    /** Wall-clock time of the measurement by the upstream's clock, in milliseconds. */
    readonly measuredAt: number;
    /** Number of requests in progress. */
    readonly running: number;
    /** Number of requests that wait inside the upstream. */
    readonly waiting: number;
    /** Number of requests that the upstream can process at once. */
    readonly capacity: number;
    /** Identifiers of the loaded versions. Empty for plain services. */
    readonly versions: readonly string[];
    /** Whether the upstream has announced that it is leaving. */
    readonly leaving: boolean;
    /** Whether it refuses an order with an outdated fencing token. Only engines report this, and not all of them. */
    readonly checksFencing?: boolean;
}
