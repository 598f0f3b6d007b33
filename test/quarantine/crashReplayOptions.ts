/**
 * Options and result of the replay of a fleet whose runners crash.
 */

/** Options of a replay. */
export interface CrashReplayOptions {
    readonly seed: number;
    readonly nodes: number;
    readonly runners: number;
    /** Harmless requests a second. */
    readonly requestsPerSecond: number;
    /** What crashes runners: a request that returns, or a part that comes with ever new requests. */
    readonly cause?: "request" | "part";
    /** Parts of that cause, each of which crashes runners by itself. */
    readonly crashingParts?: number;
    /** How long the parts ran well before they began to crash runners, in milliseconds. */
    readonly soundMilliseconds?: number;
    /** Share of the harmless requests that are about one subject. */
    readonly popularShare?: number;
    /** Mean time for which requests wait at runners, in milliseconds, while all of them are up. */
    readonly waitMilliseconds?: number;
    /** Intervals of the crashing request's returns, in milliseconds. Undefined when there is none. */
    readonly returnMilliseconds?: number;
    /** Whether the cause ends its runners before the start of its answer. */
    readonly endsBeforeHead?: boolean;
    /**
     * Whether runners that end go dark: they refuse no connections, and their open answers hang. A node sends requests there until one of
     * its own has been silent.
     */
    readonly goesDark?: boolean;
    /** Copies of the crashing request with each return, at different nodes. */
    readonly copies?: number;
    /** Times at which a share of all runners crashes at once, in milliseconds. */
    readonly outages?: readonly number[];
    readonly outageShare?: number;
    /** Copies of each harmless request that its caller sends at once. */
    readonly harmlessCopies?: number;
    /** Whether the harmless requests share a few fingerprints, as those without a body do. */
    readonly sharesFingerprints?: boolean;
    /**
     * Whether half of the harmless requests are lookups that share path, caller and body, and differ in their queries. The crashing request
     * is one of them, always with the same query or with one of which a part differs each time.
     */
    readonly lookups?: "same-query" | "changing-query";
    /** Delays of urgent and other records to the other nodes, in milliseconds. */
    readonly urgentMilliseconds?: number;
    readonly exchangeMilliseconds?: number;
}

/** Result of a replay. */
export interface CrashReplayResult {
    readonly harmlessRequests: number;
    /** Harmless requests that were refused. */
    readonly refusedHarmless: number;
    /** Runners that the crashing request has ended. */
    readonly crashes: number;
    /** Times that the cause reached a runner later than the contact time after its decisive crash. */
    readonly lateRetries: number;
    /** First attempts of harmless requests with the first part of the cause after the contact time, and those that were refused. */
    readonly lateRelated: number;
    readonly refusedRelated: number;
    readonly publications: number;
}
