/**
 * What the placement of versions on runners depends on: plain data that is read at one moment.
 */

/** A runner as its engine reported. */
export interface LoadingRunner {
    readonly id: string;
    readonly failureDomain: string;
    /** Identifiers of the versions that it has loaded. */
    readonly versions: readonly string[];
    /** Identifiers of the versions that it was ordered to load and does not report yet. */
    readonly loading: readonly string[];
    /** Whether it works on nothing. */
    readonly isIdle: boolean;
    /** Whether it did not load a version in time. It keeps what it has and is given nothing new. */
    readonly isStalled: boolean;
}

/** A version that is to be loaded. */
export interface PlacedVersion {
    readonly id: string;
    /** Work that it gets, in any unit that all versions share. */
    readonly demand: number;
}

/** What is to be decided for a pool. */
export interface LoadingRequest {
    /** The runners that answer. */
    readonly runners: readonly LoadingRunner[];
    /** Versions that are to be loaded. */
    readonly placed: readonly PlacedVersion[];
    /** Versions that are loaded nowhere anew, and stay where they are until their room is needed. */
    readonly evictable: ReadonlySet<string>;
    /** Versions that are to go once no work of theirs can be under way: at once on an idle runner. */
    readonly retiring: ReadonlySet<string>;
    readonly versionsPerRunner: number;
    /** Runners that may load at a time. */
    readonly loadsAtATime: number;
    /** Runners that each version needs at least. */
    readonly minCopies: number;
}

/** Failure domains that a version is spread over at least, so that the loss of one leaves it running. */
export const minFailureDomains = 2;
