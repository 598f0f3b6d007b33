/**
 * Refuses calls whose callers have left, before anything is done for them.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";

/** The caller of a request that has not been answered. */
export interface WaitingCaller {
    /** Aborts when the caller's connection is closed. */
    readonly disconnectSignal: AbortSignal;
    /** Makes sure that the signal is up to date. Returns undefined when there is nothing to wait for. */
    readonly confirmCaller: () => Promise<void> | undefined;
}

/** Checks that a caller has not left. An entry that was paused may have read the request, but not the end of its connection. */
export async function checkCaller({ disconnectSignal, confirmCaller }: WaitingCaller): Promise<Result<void, Failure>> {
    await confirmCaller();
    return disconnectSignal.aborted ? err(createCallerDisconnectedFailure()) : ok(undefined);
}

function createCallerDisconnectedFailure(): Failure {
    return new Failure({
        kind: "gone",
        message: "The caller closed its connection before the request started.",
        remedy: "Send the request again.",
    });
}
