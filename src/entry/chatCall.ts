/**
 * Chat completions that an entry processes.
 */
import type { EffectiveSettings } from "../configuration/index.js";
import type { WatchedRequest } from "../quarantine/index.js";
import type { AnswerSink } from "./answerSink.js";
import type { WaitingCaller } from "./callerDisconnection.js";
import type { ChatRequest } from "./chatRequest.js";

/** Represents a chat completion that has been authenticated and validated. */
export interface ChatCall extends WaitingCaller {
    readonly requestId: string;
    readonly workspace: string;
    readonly application: string;
    readonly requestClass: string;
    /** Priority at the engine: the workspace's priority until admission has set it. */
    readonly priority: number;
    /** Whether the client reports that the request is a retry. */
    readonly isRetry: boolean;
    /** The caller's name for a conversation that stays on one version. */
    readonly session: string | undefined;
    readonly sessionToken: string | undefined;
    readonly settings: EffectiveSettings;
    readonly request: ChatRequest;
    /** The request as the watch for crashed upstreams sees it. */
    readonly watched: WatchedRequest;
    readonly sink: AnswerSink;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Aborts when the request's deadline has passed. */
    readonly deadlineSignal: AbortSignal;
}

/**
 * Returns the time that a call has left until its deadline, in milliseconds.
 * @param call - The call.
 * @param now - Monotonic time, in milliseconds.
 */
export function getTimeLeft(call: ChatCall, now: number): number {
    return call.settings.deadlineMilliseconds - (now - call.arrivedAt);
}

/**
 * Returns the key that decides whether a caller is exposed to a roll-out's candidate. All requests of a session stay
 * exposed or unexposed; a request without a session has its own key.
 * @param call - The call.
 */
export function getExposureKey(call: ChatCall): string {
    return `${call.workspace}/${call.application}/${call.session ?? call.requestId}`;
}
