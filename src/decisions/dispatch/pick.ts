/**
 * What an upstream is picked for, and what is expected of the one that was picked.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";

/** What is known of a prompt, for the choice of its runner. */
export interface PromptDescription {
    readonly model: string | undefined;
    readonly tokens: number;
    /** Bytes of the request. */
    readonly bytes: number;
    /** Tokens of the parts that other requests share. */
    readonly sharedTokens: number;
    /** Requests with the same key share those parts. */
    readonly sharedKey: string;
}

/** What an upstream is chosen for. */
export interface UpstreamPickOptions {
    readonly pool: string;
    /** The upstreams that may serve it. */
    readonly candidates: readonly RegisteredUpstream[];
    /** Identifiers that were tried in vain. */
    readonly excluded: ReadonlySet<string>;
    /** Undefined for plain services. */
    readonly prompt: PromptDescription | undefined;
}

/** An upstream that was picked. */
export interface UpstreamPick {
    readonly upstream: RegisteredUpstream;
    /** For logs. */
    readonly reason: "least-wait" | "least-loaded" | "ejected";
    /** Requests expected to be there, in parts of its slots. */
    readonly load: number;
    /** Expected time to the head of the answer, in milliseconds. */
    readonly expectedMilliseconds: number;
    /** Expected time to read the prompt there, in milliseconds. */
    readonly prefillMilliseconds: number;
    /** Tokens that are likely to be read there: all but those that it holds. */
    readonly uncachedTokens: number;
}
