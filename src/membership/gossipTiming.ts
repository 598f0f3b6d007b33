/**
 * Derives the intervals and message sizes of gossip from the size of the site.
 */

/** The period grows with the site, since every digest does: 350 nodes exchange every 2.1 seconds. */
const periodMillisecondsPerPeer = 6;
/**
 * Bytes of values in a message for each second of the period. A node takes part in about two exchanges per period with
 * two such messages each, so values cost at most four times this rate, in addition to the digests.
 */
const valueBytesPerSecond = 2_500;
/**
 * Byte budget that the nodes of a small site share. A small site may send more at once, since updates should not wait
 * there and its total traffic is low.
 */
const siteValueByteBudget = 128 * 1024;
/** A node exchanges with its successor once in this number of periods, and more often where periods are long. */
const watchPeriods = 3;
const watchPeriodsAtLargeSite = 2;
/** Time in which a node should notice that its successor does not answer. */
const maxWatchMilliseconds = 3_000;
/** Number of periods without an update from a member that are normal at any site size. */
const minSuspicionPeriods = 6;

/**
 * Returns the time between two exchanges that a node starts, in milliseconds.
 * @param minMilliseconds - The time at a small site, which is the minimum.
 * @param peers - Number of peers.
 */
export function getPeriod(minMilliseconds: number, peers: number): number {
    return Math.max(minMilliseconds, peers * periodMillisecondsPerPeer);
}

/**
 * Returns the time in which an update reaches all nodes with high probability, in milliseconds: about log2(n) periods
 * until half of them have it, and ln(n) more until the last one has it.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - Number of peers.
 */
export function getPropagationTime(periodMilliseconds: number, peers: number): number {
    return periodMilliseconds * (Math.log2(peers + 2) + Math.log(peers + 2));
}

/**
 * Returns the age of a heartbeat from which its node is suspected, in milliseconds. Twice the time in which it reaches
 * most nodes, and a few periods for lost messages, keep false suspicion rare.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - Number of peers.
 */
export function getSuspicionTimeout(periodMilliseconds: number, peers: number): number {
    return periodMilliseconds * (minSuspicionPeriods + 2 * Math.log2(peers + 2));
}

/**
 * Returns in which share of its periods a node exchanges with its successor: once in this number of periods.
 * @param periodMilliseconds - The time between two exchanges.
 */
export function getWatchPeriods(periodMilliseconds: number): number {
    return periodMilliseconds * watchPeriods > maxWatchMilliseconds ? watchPeriodsAtLargeSite : watchPeriods;
}

/**
 * Returns the maximum bytes of values in a message.
 * @param maxBytes - The limit at a small site.
 * @param periodMilliseconds - The time between two exchanges.
 * @param peers - Number of peers.
 */
export function getMaxValueBytes(maxBytes: number, periodMilliseconds: number, peers: number): number {
    const byRate = valueBytesPerSecond * periodMilliseconds / 1_000;
    const bySize = siteValueByteBudget / (peers + 1);
    return Math.min(maxBytes, Math.max(byRate, bySize));
}
