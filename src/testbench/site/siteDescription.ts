/**
 * What a site of stand-ins and entries is made of.
 */
import type { VersionStatus } from "../../world/index.js";

/** A version that the site's runners serve, with what it is like in truth. */
export interface SiteVersion {
    /** `MODEL@VERSION`, without dots. */
    readonly id: string;
    readonly status: VersionStatus;
    readonly inputPrice: number;
    readonly outputPrice: number;
    /** What the operator expects. */
    readonly expectedQuality: number;
    /** What is true, and where it differs by class. */
    readonly quality: number;
    readonly classQualities?: Readonly<Record<string, number>>;
}

/** A workspace of the site. */
export interface SiteWorkspace {
    readonly name: string;
    /** Keys of its section in the tree besides `keys`. */
    readonly settings: Readonly<Record<string, string>>;
}

/** A pool of upstreams. */
export interface SitePool {
    readonly name: string;
    readonly count: number;
    /** Conditions of each stand-in of the pool. */
    readonly settings?: Readonly<Record<string, string | number | boolean>>;
}

/** A site. */
export interface SiteDescription {
    readonly name: string;
    /** The first three bytes of the loopback block that the site's processes listen in. */
    readonly prefix: string;
    readonly failureDomains: readonly string[];
    readonly entryCount: number;
    readonly runners: SitePool;
    readonly services: SitePool;
    readonly versions: readonly SiteVersion[];
    readonly workspaces: readonly SiteWorkspace[];
    /** Further sections of the tree. */
    readonly sections?: Readonly<Record<string, Readonly<Record<string, string>>>>;
    /** Sections of the entries' settings that differ from the defaults. */
    readonly entrySettings?: Readonly<Record<string, Readonly<Record<string, string>>>>;
    /** The same for single entries, by name; what stands here goes before `entrySettings`. */
    readonly perEntrySettings?: Readonly<Record<string, SiteDescription["entrySettings"]>>;
    /** Conditions of the log at the start. */
    readonly logSettings?: Readonly<Record<string, string | number | boolean>>;
    /** Conditions of the rating service at the start. */
    readonly ratingSettings?: Readonly<Record<string, string | number | boolean>>;
    /** Variables of the entries' environment that differ; `DEBUG` shows which events they write. */
    readonly entryEnvironment?: Readonly<Record<string, string>>;
    /** Whether each directed link of an entry goes through the fault-injecting proxy. */
    readonly hasProxiedLinks?: boolean;
}

/**
 * Returns the API key of a workspace in a test site.
 * @param workspace - Name of the workspace.
 */
export function getApiKey(workspace: string): string {
    return `key-of-${workspace}`;
}
