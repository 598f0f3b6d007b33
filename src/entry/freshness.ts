/**
 * How old an entry's configuration may be taken to be.
 *
 * An entry that is cut off from the log cannot see a withdrawal. While others can, it must learn from them or stop
 * taking new work; but an outage of the log for everybody must not stop a site, since nothing can be withdrawn then.
 */

/** What one entry knows about itself and the others. */
export interface FreshnessView {
    /** Milliseconds since this entry last confirmed its configuration. */
    readonly ownAgeMilliseconds: number;
    /** Whether at most half of the listed entries is known to live. */
    readonly isMajorityUnreachable: boolean;
    /** What each reachable other entry says: whether it has confirmed its configuration lately, and its offset. */
    readonly peers: Iterable<{ readonly isFresh: boolean; readonly configurationOffset: number; }>;
    readonly ownOffset: number;
}

/** An entry calls its configuration fresh while it was confirmed this long ago, in milliseconds. */
export const maxFreshAgeMilliseconds = 5000;

/**
 * An age above this was never counted from a confirmation: neither the log's end nor a peer that saw it. Peers pass
 * such ages on as a great number.
 */
const maxConfirmedAgeMilliseconds = Number.MAX_SAFE_INTEGER / 2;

/**
 * Returns the age that counts for refusing work, in milliseconds: 0 when nobody on the greater side of a cut has any
 * newer word from the log.
 * @param view - What the entry knows.
 */
export function getEffectiveAge(view: FreshnessView): number {
    if (view.ownAgeMilliseconds <= maxFreshAgeMilliseconds || view.isMajorityUnreachable) {
        return view.ownAgeMilliseconds;
    }
    if (view.ownAgeMilliseconds > maxConfirmedAgeMilliseconds) {
        // Entries that all start while the log is slow are all without its newest word for a while. Taken for an outage,
        // this would have them serve by the first page of the stream, and a version withdrawn since would answer.
        return view.ownAgeMilliseconds;
    }
    for (const peer of view.peers) {
        if (peer.isFresh || peer.configurationOffset > view.ownOffset) {
            return view.ownAgeMilliseconds;
        }
    }
    return 0;
}
