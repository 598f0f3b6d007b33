/**
 * Workspaces with their applications and sessions' classes.
 */

/** An application of a workspace. */
export interface WorkspaceApplication {
    readonly name: string;
    /** Classes of sessions that have settings of their own. */
    readonly sessionClasses: readonly string[];
}

/** A workspace, which owns API keys and the settings of its applications. */
export interface Workspace {
    readonly name: string;
    /** SHA-256 hashes of its API keys, as hexadecimal text. */
    readonly keyHashes: readonly string[];
    /** Applications that have settings of their own. */
    readonly applications: readonly WorkspaceApplication[];
}
