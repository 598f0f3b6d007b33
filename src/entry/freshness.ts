/**
 * Determines the effective age of an entry's configuration.
 *
 * An entry that is cut off from the log cannot see a withdrawal. While other entries can, it must receive the
 * withdrawal from them or stop taking new work. An outage of the log for all entries must not stop a site, since
 * nothing can be withdrawn during the outage.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import type { EffectiveSettings } from "../configuration/index.js";

/** Represents what one entry knows about itself and its peers. */
export interface FreshnessView {
    /** Milliseconds since this entry last confirmed its configuration. */
    readonly ownAgeMilliseconds: number;
    /** Whether at most half of the listed entries are known to be alive. */
    readonly isMajorityUnreachable: boolean;
    /** What each reachable peer reports: whether it confirmed its configuration recently, and its offset. */
    readonly peers: Iterable<{ readonly isFresh: boolean; readonly configurationOffset: number; }>;
    readonly ownOffset: number;
}

/** Maximum age at which an entry reports its configuration as fresh, in milliseconds. */
export const maxFreshAgeMilliseconds = 5000;

/**
 * An age above this was never measured from a confirmation, neither from this entry's own read of the log's end nor
 * from a peer that had read it. Peers send such ages as a very large number.
 */
const maxConfirmedAgeMilliseconds = Number.MAX_SAFE_INTEGER / 2;

/**
 * Returns the age by which work is refused, in milliseconds. It is 0 if no entry on the majority side of a partition
 * has newer data from the log.
 * @param view - What the entry knows.
 */
export function getEffectiveAge(view: FreshnessView): number {
    if (view.ownAgeMilliseconds <= maxFreshAgeMilliseconds || view.isMajorityUnreachable) {
        return view.ownAgeMilliseconds;
    }
    if (view.ownAgeMilliseconds > maxConfirmedAgeMilliseconds) {
        // Entries that all start while the log is slow lack its newest records for a while. If this were treated as an
        // outage, they would serve by the first page of the stream, and a version withdrawn since would answer.
        return view.ownAgeMilliseconds;
    }
    for (const peer of view.peers) {
        if (peer.isFresh || peer.configurationOffset > view.ownOffset) {
            return view.ownAgeMilliseconds;
        }
    }
    return 0;
}

/**
 * Refuses work if the configuration is older than the workspace allows.
 *
 * An entry that is cut off from the log and from its peers cannot receive a withdrawal. Without this check it would
 * continue to send work to a version that was withdrawn everywhere else.
 * @param settings - The workspace's settings.
 * @param ageMilliseconds - Time since the configuration was last confirmed.
 */
export function checkFreshness(settings: EffectiveSettings, ageMilliseconds: number): Result<void, Failure> {
    if (ageMilliseconds <= settings.maxConfigurationAgeMilliseconds) {
        return ok(undefined);
    }
    return err(
        new Failure({
            kind: "stale",
            message: "This entry has not been able to confirm its configuration for "
                + `${Math.round(ageMilliseconds / 1000)} s.`,
            remedy: "Send the request to another address of GET /v1/addresses.",
            retryAfterMilliseconds: 2000,
        }),
    );
}
