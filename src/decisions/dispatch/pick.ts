/**
 * Input and result of the selection of an upstream.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";

/** Properties of a prompt that the selection of a runner depends on. */
export interface PromptDescription {
    readonly model: string | undefined;
    readonly tokens: number;
    /** Size of the request in bytes. */
    readonly bytes: number;
    /** Tokens in the parts of the prompt that other requests share. */
    readonly sharedTokens: number;
    /** Key of the shared parts: requests with the same key share them. */
    readonly sharedKey: string;
}

/** Options of the selection of an upstream. */
export interface UpstreamPickOptions {
    readonly pool: string;
    /** Upstreams that can serve the request. */
    readonly candidates: readonly RegisteredUpstream[];
    /** Identifiers of the upstreams on which an attempt has already failed. */
    readonly excluded: ReadonlySet<string>;
    /** The prompt; undefined for plain services. */
    readonly prompt: PromptDescription | undefined;
    /** Whether the choice may be a probe. False for estimates and for attempts after the first one. */
    readonly mayProbe?: boolean;
}

/** Represents a selected upstream and the estimates that it was selected by. */
export interface UpstreamPick {
    readonly upstream: RegisteredUpstream;
    /** Reason of the selection, for logs. */
    readonly reason: "least-wait" | "probe" | "least-loaded" | "ejected";
    /** Expected requests at the upstream, as a share of its slots. */
    readonly load: number;
    /** Expected time to the response head, in milliseconds. */
    readonly expectedMilliseconds: number;
    /** Expected prefill time at the upstream, in milliseconds. */
    readonly prefillMilliseconds: number;
    /** How long the upstream took for work at the time of the choice, relative to its pool. */
    readonly slowness: number;
    /** Expected tokens that are not in the upstream's prefix cache and have to be prefilled. */
    readonly uncachedTokens: number;
}
