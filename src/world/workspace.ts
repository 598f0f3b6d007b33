/**
 * Workspaces with their applications and classes of sessions.
 */

/** Represents an application of a workspace. */
export interface WorkspaceApplication {
    readonly name: string;
    /** Classes of sessions that have their own settings. */
    readonly sessionClasses: readonly string[];
}

/** Represents a workspace, which owns API keys and the settings of its applications. */
export interface Workspace {
    readonly name: string;
    /** SHA-256 hashes of its API keys, as hexadecimal text. */
    readonly keyHashes: readonly string[];
    /** Applications that have their own settings. */
    readonly applications: readonly WorkspaceApplication[];
}
