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
 * @param disconnectSignal - Aborts when the caller's connection is gone.
 * @param deadlineSignal - Aborts at the deadline.
 * @param graceMilliseconds - How long to go on without the caller.
 */
export function createAttemptSignal(
    disconnectSignal: AbortSignal,
    deadlineSignal: AbortSignal,
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
        disconnectSignal.removeEventListener("abort", abortLater);
        deadlineSignal.removeEventListener("abort", abort);
    };
    disconnectSignal.addEventListener("abort", abortLater, { once: true });
    deadlineSignal.addEventListener("abort", abort, { once: true });
    if (deadlineSignal.aborted) {
        abort();
    }
    else if (disconnectSignal.aborted) {
        abortLater();
    }
    return { signal: controller.signal, dispose };
}
