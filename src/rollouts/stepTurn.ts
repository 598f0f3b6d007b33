/**
 * Which node takes a step of a roll-out that is due.
 */

/** So many nodes, the first by rank, watch a roll-out closely and take their turns one after another. */
export const leadingNodeCount = 4;
/** How long each of them waits for each node before it, in milliseconds: a step takes less to be written and heard of. */
const rankDelayMilliseconds = 500;
/** The same for the nodes behind them. They only come in when all of the first have died, and the store takes a step once anyhow. */
const trailingRankDelayMilliseconds = 5;

/** What a node's turn rests on. */
export interface StepTurn {
    /** How many nodes rank before this one, dead ones that are not known to be dead among them. */
    readonly rank: number;
    /** Whether this node took the step before: whoever ranks before it did not, and need not be waited for again. */
    readonly tookLastStep: boolean;
}

/** Returns how long a node leaves a step that is due to those before it, in milliseconds. */
export function getTurnDelay({ rank, tookLastStep }: StepTurn): number {
    if (tookLastStep) {
        return 0;
    }
    const leadingRanks = Math.min(rank, leadingNodeCount);
    return leadingRanks * rankDelayMilliseconds + (rank - leadingRanks) * trailingRankDelayMilliseconds;
}
