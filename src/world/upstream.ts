/**
 * Upstreams: model runners and plain services, and what they report of themselves.
 */

/** What an upstream reports of its load. It is as old as `measuredAt` says. */
export interface LoadReport {
    /** Identifier of the VM that runs the upstream. */
    readonly upstream: string;
    /** Wall-clock milliseconds of the upstream when it measured. */
    readonly measuredAt: number;
    /** Requests that are being worked on. */
    readonly running: number;
    /** Requests that wait inside the upstream. */
    readonly waiting: number;
    /** Requests that it can work on at once. */
    readonly capacity: number;
    /** Identifiers of the versions that it has loaded. Empty for plain services. */
    readonly versions: readonly string[];
    /** Whether it has announced that it is leaving. */
    readonly leaving: boolean;
    /** Whether it refuses an order with an old fencing number; engines only, and not all of them say so. */
    readonly checksFencing?: boolean;
}
