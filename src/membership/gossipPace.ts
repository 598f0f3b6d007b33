/**
 * How often a node exchanges and how much it sends, by the size of the site.
 */

/** The period grows with the site, for every node's digest does: 350 nodes exchange every 2.1 seconds. */
const periodMillisecondsByPeer = 6;
/**
 * Bytes of values in a message for each second of the period. A node takes part in about two exchanges a period with
 * two such messages each, so values cost at most four times this a second, beside the digests.
 */
const valueBytesPerSecond = 2_500;
/** Small sites may send more at once: there, news should not wait, and the whole traffic is small. */
const valueBytesOfSite = 128 * 1024;
/** Periods without news of a member that are still ordinary, whatever the size of the site. */
const ordinaryPeriods = 6;

/**
 * Returns the time between two exchanges that a node begins.
 * @param leastMilliseconds - The time at a small site.
 * @param peers - How many peers there are.
 */
export function getPeriod(leastMilliseconds: number, peers: number): number {
    return Math.max(leastMilliseconds, peers * periodMillisecondsByPeer);
}

/**
 * Returns the time in which news almost surely reaches all nodes: about log2(n) periods until half of them know it, and ln(n) more
 * until the last one does.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - How many peers there are.
 */
export function getSpreadTime(periodMilliseconds: number, peers: number): number {
    return periodMilliseconds * (Math.log2(peers + 2) + Math.log(peers + 2));
}

/**
 * Returns how long a heartbeat may stay unchanged before its node is suspected. Twice the time in which most nodes hear of it, and
 * some periods for lost messages, keep false suspicion rare.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - How many peers there are.
 */
export function getSuspectTime(periodMilliseconds: number, peers: number): number {
    return periodMilliseconds * (ordinaryPeriods + 2 * Math.log2(peers + 2));
}

/**
 * Returns the most bytes of values in a message.
 * @param mostBytes - The bound at a small site.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - How many peers there are.
 */
export function getValueBytes(mostBytes: number, periodMilliseconds: number, peers: number): number {
    const byRate = valueBytesPerSecond * periodMilliseconds / 1_000;
    const bySize = valueBytesOfSite / (peers + 1);
    return Math.min(mostBytes, Math.max(byRate, bySize));
}
