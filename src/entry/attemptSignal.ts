/**
 * Decides when the work for a caller is aborted.
 */

/** Represents a signal that must be disposed of when the work ends. */
export interface AttemptSignal {
    readonly signal: AbortSignal;
    readonly dispose: () => void;
}

/**
 * Creates a signal that aborts at the deadline, or after a grace period once the caller has disconnected.
 *
 * A caller whose connection broke may resume the stream through another entry. Cancelling at once would discard its
 * answer; never cancelling would let engines work for callers that have left.
 * @param disconnectSignal - Aborts when the caller's connection is closed.
 * @param deadlineSignal - Aborts at the deadline.
 * @param graceMilliseconds - How long the work continues without the caller.
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
