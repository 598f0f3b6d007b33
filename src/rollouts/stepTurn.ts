/**
 * Which node takes a step of a roll-out that is due.
 */

/** So many nodes, the first by rank, watch a roll-out closely and take their turns one after another. */
export const watchfulNodes = 4;
/** How long each of them waits for each node before it, in milliseconds: a step takes less to be written and heard of. */
const turnMilliseconds = 500;
/** The same for the nodes behind them. They only come in when all of the first have died, and the store takes a step once anyhow. */
const lateTurnMilliseconds = 5;

/** What a node's turn rests on. */
export interface StepTurn {
    /** How many nodes rank before this one, dead ones that are not known to be dead among them. */
    readonly rank: number;
    /** Whether this node took the step before: whoever ranks before it did not, and need not be waited for again. */
    readonly hasTakenLast: boolean;
}

/** Returns how long a node leaves a step that is due to those before it, in milliseconds. */
export function getTurnDelay({ rank, hasTakenLast }: StepTurn): number {
    if (hasTakenLast) {
        return 0;
    }
    const first = Math.min(rank, watchfulNodes);
    return first * turnMilliseconds + (rank - first) * lateTurnMilliseconds;
}
