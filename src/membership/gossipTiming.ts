/**
 * How often a node exchanges and how much it sends, by the size of the site.
 */

/** The period grows with the site, for every node's digest does: 350 nodes exchange every 2.1 seconds. */
const periodMillisecondsPerPeer = 6;
/**
 * Bytes of values in a message for each second of the period. A node takes part in about two exchanges a period with
 * two such messages each, so values cost at most four times this a second, beside the digests.
 */
const valueBytesPerSecond = 2_500;
/** Small sites may send more at once: there, news should not wait, and the whole traffic is small. */
const siteValueByteBudget = 128 * 1024;
/** Periods without news of a member that are still ordinary, whatever the size of the site. */
const minSuspicionPeriods = 6;

/**
 * Returns the time between two exchanges that a node begins.
 * @param minMilliseconds - The time at a small site.
 * @param peers - How many peers there are.
 */
export function getPeriod(minMilliseconds: number, peers: number): number {
    return Math.max(minMilliseconds, peers * periodMillisecondsPerPeer);
}

/**
 * Returns the time in which news almost surely reaches all nodes: about log2(n) periods until half of them know it, and ln(n) more
 * until the last one does.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - How many peers there are.
 */
export function getPropagationTime(periodMilliseconds: number, peers: number): number {
    return periodMilliseconds * (Math.log2(peers + 2) + Math.log(peers + 2));
}

/**
 * Returns how long a heartbeat may stay unchanged before its node is suspected. Twice the time in which most nodes hear of it, and
 * some periods for lost messages, keep false suspicion rare.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - How many peers there are.
 */
export function getSuspicionTimeout(periodMilliseconds: number, peers: number): number {
    return periodMilliseconds * (minSuspicionPeriods + 2 * Math.log2(peers + 2));
}

/**
 * Returns the most bytes of values in a message.
 * @param maxBytes - The bound at a small site.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - How many peers there are.
 */
export function getMaxValueBytes(maxBytes: number, periodMilliseconds: number, peers: number): number {
    const byRate = valueBytesPerSecond * periodMilliseconds / 1_000;
    const bySize = siteValueByteBudget / (peers + 1);
    return Math.min(maxBytes, Math.max(byRate, bySize));
}
