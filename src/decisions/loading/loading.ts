/**
 * Input of the placement of versions on runners: a snapshot as plain data.
 */

/** Represents the state of a runner as reported by its engine. */
export interface LoadingRunner {
    readonly id: string;
    readonly failureDomain: string;
    /** Identifiers of the versions that the runner has loaded. */
    readonly versions: readonly string[];
    /** Identifiers of the versions that the runner was ordered to load and does not report yet. */
    readonly loading: readonly string[];
    /** Whether the runner has no requests in flight. */
    readonly isIdle: boolean;
    /** Whether the runner did not load a version in time. It keeps its versions and gets no new ones. */
    readonly isStalled: boolean;
}

/** Represents a version that is to be loaded. */
export interface PlacedVersion {
    readonly id: string;
    /** Demand for the version, in any unit that is the same for all versions. */
    readonly demand: number;
}

/** Input of a loading decision for a pool. */
export interface LoadingRequest {
    /** The reachable runners. */
    readonly runners: readonly LoadingRunner[];
    /** Versions that are to be loaded. */
    readonly placed: readonly PlacedVersion[];
    /** Versions that are not loaded on further runners, and stay loaded until their slot is needed. */
    readonly evictable: ReadonlySet<string>;
    /** Versions that are unloaded as soon as none of their requests can be in flight: at once on an idle runner. */
    readonly retiring: ReadonlySet<string>;
    readonly versionsPerRunner: number;
    /** Maximum number of runners that load at a time. */
    readonly loadsAtATime: number;
    /** Minimum number of runners for each version. */
    readonly minCopies: number;
}

/** Minimum number of failure domains for a version, so that it stays available when one of them fails. */
export const minFailureDomains = 2;
