/**
 * Requests of callers, whatever the interface they came over.
 */

/** A part of a prompt. Requests that begin with the same parts can share what a runner has read. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What is known of the generation that a request asks for. */
export interface Generation {
    /** Undefined when the caller leaves the choice to the router. */
    readonly model: string | undefined;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The caller's guess at the output, right in the median and often far off. */
    readonly expectedOutputTokens: number | undefined;
    /** The parts of the prompt in order; the last belongs to the request or its session alone. */
    readonly parts: readonly PromptPart[];
}

/** One attempt of a caller. */
export interface CallerRequest {
    /** Unique for each attempt of a caller. */
    readonly id: string;
    readonly method: string;
    readonly host: string;
    /** Path and query as they were sent. */
    readonly target: string;
    /** Headers that are passed on, as a flat list of names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** How long the caller waits, from `arrivedAt` on, in milliseconds. */
    readonly deadlineMilliseconds: number | undefined;
    readonly apiKey: string | undefined;
    readonly session: string | undefined;
    readonly generation: Generation | undefined;
    /** Identifier of the last event that the caller has of an earlier answer. */
    readonly lastEventId: string | undefined;
    /** Monotonic milliseconds at which its headers were read. */
    readonly arrivedAt: number;
}

/** Returns the path of a request without its query. */
export function getPath(request: CallerRequest): string {
    const query = request.target.indexOf("?");
    return query < 0 ? request.target : request.target.slice(0, query);
}
