/**
 * How long the head of an answer is waited for.
 *
 * A crowded runner and a dead one look alike to the request that waits: nothing comes. They differ in what else comes from the
 * runner. One that goes on with other answers is crowded, and giving up its work to do it again elsewhere crowds the others; one from
 * which nothing at all has come since the sending is likely dead, and the sooner the request leaves it the better.
 */

/** How long to wait, in milliseconds. */
export interface HeadPatience {
    /** The attempt is given up when nothing at all has come from the upstream for so long since the sending. */
    readonly silentMilliseconds: number;
    /** The attempt is given up so long after its sending in any case: the answer may be lost, though its upstream is well. */
    readonly longestMilliseconds: number;
}

/** How an attempt stands. */
export interface HeadWait {
    /** Since the sending, in milliseconds. */
    readonly elapsedMilliseconds: number;
    /** Since anything came from the upstream, in milliseconds. */
    readonly unheardMilliseconds: number;
}

/**
 * Returns how long to wait on before looking again, in milliseconds; 0 gives the attempt up.
 * @param wait - How the attempt stands.
 * @param patience - How long to wait.
 */
export function getFurtherWait(wait: HeadWait, patience: HeadPatience): number {
    const { elapsedMilliseconds, unheardMilliseconds } = wait;
    const silent = Math.min(elapsedMilliseconds, unheardMilliseconds);
    const further = Math.min(
        patience.silentMilliseconds - silent,
        patience.longestMilliseconds - elapsedMilliseconds,
    );
    return Math.max(0, further);
}
