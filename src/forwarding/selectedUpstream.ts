/**
 * The upstream of one attempt.
 */
import type { UpstreamPick } from "../decisions/index.js";

/** An upstream that was selected. */
export interface SelectedUpstream {
    readonly pick: UpstreamPick;
    /** Why its version serves the request, for log lines. */
    readonly versionReason: string | undefined;
}
