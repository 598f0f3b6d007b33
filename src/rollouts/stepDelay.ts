/**
 * Determines when a node may take a due step of a roll-out.
 */

/** Number of nodes, the first by rank, that follow a roll-out closely and take turns one after another. */
export const leadingNodeCount = 4;
/**
 * Delay of each leading node for each node before it, in milliseconds. It is longer than it takes to write a step and
 * receive it at the other nodes.
 */
const rankDelayMilliseconds = 500;
/**
 * Delay of the other nodes for each further node before them, in milliseconds. They take a step only if all leading
 * nodes have failed, and the store accepts a step once in any case.
 */
const trailingRankDelayMilliseconds = 5;

/** The position of a node in the order in which nodes may take a step. */
export interface StepPosition {
    /** Number of nodes that rank before this one, including failed ones whose failure is not detected yet. */
    readonly rank: number;
    /**
     * Whether this node took the previous step. The nodes before it did not take it, so it does not wait for them
     * again.
     */
    readonly hasTakenLastStep: boolean;
}

/** Returns how long a node waits for the nodes before it to take a due step, in milliseconds. */
export function getStepDelay({ rank, hasTakenLastStep }: StepPosition): number {
    if (hasTakenLastStep) {
        return 0;
    }
    const leadingRanks = Math.min(rank, leadingNodeCount);
    return leadingRanks * rankDelayMilliseconds + (rank - leadingRanks) * trailingRankDelayMilliseconds;
}
