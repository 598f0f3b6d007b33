/**
 * Merges what several nodes have measured of the upstreams of one pool.
 */

/** A measured pace. */
export interface PaceEstimate {
    /** Logarithm of the time relative to the pool. */
    readonly logPace: number;
    /** Number of samples that it counts for. */
    readonly weight: number;
}

/** The merged pace of an upstream. */
export interface MergedPace extends PaceEstimate {
    /** Median of what the nodes measured, as a logarithm, before it is drawn to the pool's. */
    readonly median: number;
    /** Standard error of the logarithm, and of the pool's mean. */
    readonly error: number;
}

/** The merged paces of a pool. */
export interface PoolPaces {
    readonly paces: ReadonlyMap<number, MergedPace>;
    /** Variance of the logarithm of one sample. */
    readonly variance: number;
}

/** Number of samples that the variance measured within this node counts for. */
const priorSamples = 8;
/** Number of upstreams without any difference that are assumed besides the measured ones. */
const priorUpstreams = 4;
/** Standard deviations by which the spread of upstreams has to exceed that of even ones. */
const spreadDeviations = 2;
/** A median of normally distributed values has this times the variance of their mean. */
const medianVariance = Math.PI / 2;

/** Inserts an estimate into a list that is ordered by pace. */
export function insertByPace<Estimate extends PaceEstimate>(estimates: Estimate[], estimate: Estimate): void {
    const index = estimates.findIndex(({ logPace }) => logPace > estimate.logPace);
    estimates.splice(index < 0 ? estimates.length : index, 0, estimate);
}

/**
 * Merges paces. The median of the nodes is robust against single ones that measured while an upstream was slowed down for a moment. How
 * far the result leaves the pool's mean depends on how much more the upstreams differ than noise explains.
 * @param estimates - The estimates of all nodes by upstream, ordered by their paces.
 * @param priorVariance - Variance of the logarithm of one sample, as it was measured within this node.
 */
export function mergePaces(
    estimates: ReadonlyMap<number, readonly PaceEstimate[]>,
    priorVariance: number,
): PoolPaces {
    const medians = new Map<number, PaceEstimate>();
    let squares = priorVariance * priorSamples;
    let degrees = priorSamples;
    for (const [key, ofNodes] of estimates) {
        const median = getMedian(ofNodes);
        if (median.weight <= 0) {
            continue;
        }
        medians.set(key, median);
        for (const { logPace, weight } of ofNodes) {
            squares += weight * (logPace - median.logPace) ** 2;
        }
        degrees += ofNodes.length - 1;
    }
    const variance = squares / degrees;
    return { paces: drawToMean(medians, variance), variance };
}

function drawToMean(medians: ReadonlyMap<number, PaceEstimate>, variance: number): ReadonlyMap<number, MergedPace> {
    const mean = getMean(medians, 0, ({ logPace }) => logPace);
    const spread = getMean(
        medians,
        priorUpstreams,
        ({ logPace, weight }) => (logPace - mean) ** 2 - getSquaredError(variance, weight),
    );
    const noise = getMean(medians, 0, ({ weight }) => getSquaredError(variance, weight));
    // The spread of even upstreams is this far from 0 by chance; what does not exceed it shows nothing.
    const chance = spreadDeviations * noise * Math.sqrt(2 / Math.max(1, medians.size));
    const realSpread = Math.max(0, spread - chance);
    const paces = new Map<number, MergedPace>();
    for (const [key, { logPace, weight }] of medians) {
        const squaredError = getSquaredError(variance, weight);
        const share = realSpread === 0 ? 0 : realSpread / (realSpread + squaredError);
        const median = logPace - mean;
        paces.set(key, {
            logPace: share * median,
            median,
            weight,
            error: Math.sqrt(squaredError + realSpread / medians.size),
        });
    }
    return paces;
}

function getSquaredError(variance: number, weight: number): number {
    return medianVariance * variance / weight;
}

/** Returns a mean over upstreams, in which those that were hardly measured count little, and a number of zeros. */
function getMean(
    medians: ReadonlyMap<number, PaceEstimate>,
    zeros: number,
    getValue: (estimate: PaceEstimate) => number,
): number {
    let sum = 0;
    let weights = zeros;
    for (const estimate of medians.values()) {
        const weight = estimate.weight / (estimate.weight + 1);
        sum += weight * getValue(estimate);
        weights += weight;
    }
    return weights === 0 ? 0 : sum / weights;
}

/** Returns the weighted median, between two values where the weights are equal on both sides. */
function getMedian(estimates: readonly PaceEstimate[]): PaceEstimate {
    let weight = 0;
    for (const estimate of estimates) {
        weight += estimate.weight;
    }
    let below = 0;
    for (const [index, estimate] of estimates.entries()) {
        below += estimate.weight;
        if (below > weight / 2 || index === estimates.length - 1) {
            return { logPace: estimate.logPace, weight };
        }
        if (below === weight / 2) {
            return { logPace: (estimate.logPace + estimates[index + 1].logPace) / 2, weight };
        }
    }
    return { logPace: 0, weight: 0 };
}
