/**
 * A chat completion on its way through an entry.
 */
import type { EffectiveSettings } from "../configuration/index.js";
import type { AnswerSink } from "./answerSink.js";
import type { ChatRequest } from "./chatRequest.js";

/** A chat completion that has been authenticated and checked. */
export interface ChatCall {
    readonly requestId: string;
    readonly workspace: string;
    readonly application: string;
    readonly requestClass: string;
    /** Priority at the engine: the workspace's until admission has decided. */
    readonly priority: number;
    /** Whether the client says that it asks again. */
    readonly isRetry: boolean;
    /** The caller's name for a conversation that stays on one version. */
    readonly session: string | undefined;
    readonly sessionToken: string | undefined;
    readonly settings: EffectiveSettings;
    readonly request: ChatRequest;
    readonly sink: AnswerSink;
    /** Monotonic milliseconds of the arrival. */
    readonly arrivedAt: number;
    /** Aborts when the caller's connection is gone. */
    readonly disconnectSignal: AbortSignal;
    /** Aborts when the request's deadline has passed. */
    readonly deadlineSignal: AbortSignal;
}

/**
 * Returns how many milliseconds a call has left.
 * @param call - The call.
 * @param now - Monotonic milliseconds.
 */
export function getTimeLeft(call: ChatCall, now: number): number {
    return call.settings.deadlineMilliseconds - (now - call.arrivedAt);
}

/**
 * Returns what decides whether a caller is exposed to a roll-out's candidate: the same session, or the same
 * application of a workspace, stays exposed or unexposed.
 * @param call - The call.
 */
export function getExposureKey(call: ChatCall): string {
    return `${call.workspace}/${call.application}/${call.session ?? call.requestId}`;
}
