/**
 * Types that describe a site of stand-ins and entries.
 */
import type { VersionStatus } from "../../world/index.js";

/** Represents a version that the site's runners serve, with its expected and its true quality. */
export interface SiteVersion {
    /** `MODEL@VERSION`, without dots. */
    readonly id: string;
    readonly status: VersionStatus;
    readonly inputPrice: number;
    readonly outputPrice: number;
    /** Quality that the operator expects. */
    readonly expectedQuality: number;
    /** True quality of the version's answers. */
    readonly quality: number;
    /** True quality of the request classes for which it differs. */
    readonly classQualities?: Readonly<Record<string, number>>;
}

/** Represents a workspace of the site. */
export interface SiteWorkspace {
    readonly name: string;
    /** Settings of the workspace's section in the tree, without `keys`. */
    readonly settings: Readonly<Record<string, string>>;
}

/** Represents a pool of upstreams. */
export interface SitePool {
    readonly name: string;
    readonly count: number;
    /** Settings of each stand-in of the pool. */
    readonly settings?: Readonly<Record<string, string | number | boolean>>;
}

/** Describes a site. */
export interface SiteDescription {
    readonly name: string;
    /** First three bytes of the loopback addresses that the site's processes listen on. */
    readonly prefix: string;
    readonly failureDomains: readonly string[];
    readonly entryCount: number;
    readonly runners: SitePool;
    readonly services: SitePool;
    readonly versions: readonly SiteVersion[];
    readonly workspaces: readonly SiteWorkspace[];
    /** Additional sections of the tree. */
    readonly sections?: Readonly<Record<string, Readonly<Record<string, string>>>>;
    /** Sections of the entries' settings that override the defaults. */
    readonly entrySettings?: Readonly<Record<string, Readonly<Record<string, string>>>>;
    /** Settings of single entries by name, which take precedence over `entrySettings`. */
    readonly perEntrySettings?: Readonly<Record<string, SiteDescription["entrySettings"]>>;
    /** Initial settings of the log stand-in. */
    readonly logSettings?: Readonly<Record<string, string | number | boolean>>;
    /** Initial settings of the rating service stand-in. */
    readonly ratingSettings?: Readonly<Record<string, string | number | boolean>>;
    /** Environment variables to override for the entries; `DEBUG` selects the events that they write. */
    readonly entryEnvironment?: Readonly<Record<string, string>>;
    /** Whether each directed link of an entry goes through the fault-injecting proxy. */
    readonly hasProxiedLinks?: boolean;
}

/**
 * Returns the API key of a workspace on a test site.
 * @param workspace - Name of the workspace.
 */
export function getApiKey(workspace: string): string {
    return `key-of-${workspace}`;
}
