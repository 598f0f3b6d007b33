/**
 * Requests of callers, independent of the protocol.
 */

/** A part of a prompt. Requests whose prompts start with the same parts can share the prefill of a runner. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Parameters of the generation that a request asks for. */
export interface Generation {
    /** Undefined when the caller leaves the choice to the router. */
    readonly model: string | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The caller's estimate of the output length. It is right in the median and often far off. */
    readonly expectedOutputTokens: number | undefined;
    /** The parts of the prompt in order. The last part belongs to the request or its session only. */
    readonly parts: readonly PromptPart[];
}

/** One attempt of a caller to get an answer. */
export interface CallerRequest {
    /** Unique for each attempt of a caller. */
    readonly id: string;
    readonly method: string;
    readonly host: string;
    /** Path and query as sent by the caller. */
    readonly target: string;
    /** Headers to forward, as a flat list of names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Maximum time that the caller waits, counted from `arrivedAt`, in milliseconds. */
    readonly deadlineMilliseconds: number | undefined;
    readonly apiKey: string | undefined;
    readonly session: string | undefined;
    readonly generation: Generation | undefined;
    /** Identifier of the last event that the caller received from an earlier answer. */
    readonly lastEventId: string | undefined;
    /** Monotonic time at which the headers were read, in milliseconds. */
    readonly arrivedAt: number;
    /**
     * Earliest time at which the request may have arrived, in milliseconds of a clock that counts suspensions. It is before `arrivedAt`
     * where the request waited unread while the node was paused. Undefined means when it was read.
     */
    readonly sentAt?: number;
}

/** Returns the query of a request without the question mark; empty if there is none. */
export function getQuery({ target }: CallerRequest): string {
    const query = target.indexOf("?");
    return query < 0 ? "" : target.slice(query + 1);
}

/** Returns the path of a request without its query. */
export function getPath(request: CallerRequest): string {
    const query = request.target.indexOf("?");
    return query < 0 ? request.target : request.target.slice(0, query);
}
