/**
 * A request as the watch for crashed upstreams sees it.
 */
import { createFingerprint, type RequestContent } from "./fingerprint.js";
import { createPartKeys, type PromptContent } from "./promptParts.js";
import { createTraitKeys } from "./queryTraits.js";

/** A request whose runs are watched. */
export interface WatchedRequest {
    /** Identifier of the caller's attempt, for log lines. */
    readonly id: string;
    /** Whether the answer starts as soon as the request runs. Otherwise it starts at the end of the upstream's work. */
    readonly isStream: boolean;
    /** Returns the request's fingerprint, without its query. Called only where it is needed, since it reads the whole body. */
    readonly getFingerprint: () => string;
    /** Returns the keys of what in it may crash upstreams by itself. */
    readonly getTraitKeys: () => readonly string[];
    /** Returns the keys of those parts of its prompt that other requests may share. */
    readonly getPartKeys: () => readonly string[];
}

/** Options of a watched request. */
export interface WatchedRequestOptions {
    readonly id: string;
    readonly isStream: boolean;
    readonly content: RequestContent;
    /** The query without the question mark; empty if there is none. */
    readonly query: string;
    /** Undefined for requests without a prompt. */
    readonly prompt: PromptContent | undefined;
}

/** Creates a watched request, whose fingerprint and keys are computed once. */
export function createWatchedRequest({ id, isStream, content, query, prompt }: WatchedRequestOptions): WatchedRequest {
    let fingerprint: string | undefined;
    let traitKeys: readonly string[] | undefined;
    let partKeys: readonly string[] | undefined;
    const getFingerprint = (): string => fingerprint ??= createFingerprint(content);
    return {
        id,
        isStream,
        getFingerprint,
        getTraitKeys: () => traitKeys ??= createTraitKeys(getFingerprint(), query),
        getPartKeys: () => partKeys ??= prompt === undefined ? [] : createPartKeys(prompt),
    };
}
