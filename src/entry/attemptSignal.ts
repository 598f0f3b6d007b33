/**
 * Decides when work for a caller ends early.
 */

/** A signal that must be disposed of when the work is over. */
export interface AttemptSignal {
    readonly signal: AbortSignal;
    readonly dispose: () => void;
}

/**
 * Creates a signal that aborts at the deadline, or when the caller has been gone for a grace time.
 *
 * A caller whose connection broke may resume the stream through another entry. Cancelling at once would throw its
 * answer away; never cancelling would let engines work for callers that have left.
 * @param gone - Aborts when the caller's connection is gone.
 * @param deadline - Aborts at the deadline.
 * @param graceMilliseconds - How long to go on without the caller.
 */
export function createAttemptSignal(
    gone: AbortSignal,
    deadline: AbortSignal,
    graceMilliseconds: number,
): AttemptSignal {
    const controller = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    const abort = () => controller.abort();
    const abortLater = () => {
        if (graceMilliseconds === 0) {
            abort();
            return;
        }
        timer = setTimeout(abort, graceMilliseconds);
    };
    const dispose = () => {
        clearTimeout(timer);
        gone.removeEventListener("abort", abortLater);
        deadline.removeEventListener("abort", abort);
    };
    gone.addEventListener("abort", abortLater, { once: true });
    deadline.addEventListener("abort", abort, { once: true });
    if (deadline.aborted) {
        abort();
    }
    else if (gone.aborted) {
        abortLater();
    }
    return { signal: controller.signal, dispose };
}
