/**
 * Creates the headers of an answer.
 */
import type { AttemptOptions } from "./attempt.js";
import type { ChatCall } from "./chatCall.js";
import { createResumeToken } from "./resumeToken.js";

/** Options for creating headers. */
export interface AnswerHeadersOptions {
    readonly createSessionToken: (call: ChatCall, version: string) => string | undefined;
    readonly signingKey: string;
}

/** Identifies where an attempt runs. */
export interface AttemptTarget {
    readonly runner: string;
    readonly streamId: string;
}

/**
 * Creates the headers of an attempt's answer.
 * @param attempt - The requested answer.
 * @param target - Where the attempt runs.
 * @param options - Options for creating headers.
 */
export function createAnswerHeaders(
    attempt: AttemptOptions,
    target: AttemptTarget,
    options: AnswerHeadersOptions,
): Readonly<Record<string, string>> {
    const { call, version } = attempt;
    const headers: Record<string, string> = {
        "x-request-id": call.requestId,
        "x-rattanlock-version": version.id,
    };
    const sessionToken = options.createSessionToken(call, version.id);
    if (sessionToken !== undefined) {
        headers["x-rattanlock-session-token"] = sessionToken;
    }
    if (attempt.direct && call.request.streamed) {
        headers["x-rattanlock-resume"] = createResumeToken({
            requestId: call.requestId,
            streamId: target.streamId,
            runner: target.runner,
            version: version.id,
            workspace: call.workspace,
            application: call.application,
            requestClass: call.requestClass,
            session: call.session,
            earlierLines: [...attempt.earlierLines],
        }, options.signingKey);
    }
    return headers;
}
