/**
 * The paces of upstreams, as the choice of an upstream sees them.
 */

/** Knows how long upstreams take for the same work. */
export interface Paces {
    /**
     * Returns how long an upstream takes for work relative to its pool: 2 for twice as long, 1 where nothing is known.
     * @param upstream - Identifier of the upstream.
     */
    getPace(upstream: string): number;
}
