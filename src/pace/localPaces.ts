/**
 * The paces of upstreams as one node has measured them by itself.
 */
import type { PaceEstimate } from "./mergePaces.js";

/** Time in which a measurement loses half of its weight, in milliseconds. */
export const paceHalfLifeMilliseconds = 20_000;
/** Weight below which a measurement is forgotten. */
const minWeight = 0.05;
/** Maximum number of kinds of work that are told apart. */
const maxKinds = 64;
/** Noise of a sample that is assumed at first, as a variance of its logarithm, and the number of samples that this counts for. */
const initialVariance = 0.0625;
const initialSamples = 4;
/** Counts as evidence that fill has no effect, so that the first samples don't show an effect at random. */
const slopeRidge = 0.125;
const maxSlope = 1;
/** Standard deviations beyond which a sample counts no more. */
const maxDeviations = 3;
/**
 * A sum of deviations, each reduced by the slack, discards what was known when it exceeds the bound (CUSUM). In standard deviations: a
 * lasting change of twice the slack is found, noise hardly ever is.
 */
const changeSlack = 1;
const changeBound = 4;
/** Part of the evidence on noise and fill that each sample replaces. */
const forgetting = 1 / 200;

/** One measurement of work that an upstream did. */
export interface PaceSample {
    /** Key of the upstream's incarnation. */
    readonly key: number;
    readonly pool: string;
    /** Kind of work. Only times of the same pool and kind are compared. */
    readonly kind: string;
    /** Time that the work took. */
    readonly milliseconds: number;
    /** Running requests for each slot, if the upstream said. */
    readonly fill: number;
}

/** Sums over the samples of one upstream. */
interface UpstreamSums {
    weight: number;
    /** Weighted means of the logarithm of the time, and of the fill. */
    time: number;
    fill: number;
    /** The last sample. */
    lastTime: number;
    lastFill: number;
    agedAt: number;
    /** Sums of deviations towards longer and towards shorter times. */
    longer: number;
    shorter: number;
}

/** What is known of one kind of work. */
interface Kind {
    readonly pool: string;
    readonly upstreams: Map<number, UpstreamSums>;
    /**
     * Sums of squares and of products of the differences between one sample and the next of the same upstream, halved. A lasting change
     * of an upstream counts in one of them only, so that it passes neither for noise nor for an effect of fill.
     */
    fillSquares: number;
    products: number;
    timeSquares: number;
    samples: number;
}

/** Measures paces. */
export class LocalPaces {
    readonly #kinds = new Map<string, Kind>();

    /**
     * Adds a sample. One that is not finite is ignored.
     * @param sample - The sample.
     * @param now - Monotonic milliseconds.
     */
    add({ key, pool, kind: name, milliseconds, fill }: PaceSample, now: number): void {
        if (!Number.isFinite(milliseconds) || !Number.isFinite(fill)) {
            return;
        }
        const kind = this.#getKind(pool, name);
        const time = Math.log(Math.max(milliseconds, Number.MIN_VALUE));
        const known = kind.upstreams.get(key);
        if (known === undefined) {
            kind.upstreams.set(key, createSums(time, fill, now));
            return;
        }
        age(known, now);
        addDifference(kind, known, time, fill);
        const unit = Math.sqrt(getVariance(kind));
        const expected = known.time + getSlope(kind) * (fill - known.fill);
        const deviations = Math.min(maxDeviations, Math.max(-maxDeviations, (time - expected) / unit));
        known.longer = Math.max(0, known.longer + deviations - changeSlack);
        known.shorter = Math.max(0, known.shorter - deviations - changeSlack);
        if (Math.max(known.longer, known.shorter) > changeBound) {
            kind.upstreams.set(key, createSums(time, fill, now));
            return;
        }
        addToSums(known, expected + deviations * unit, fill);
    }

    /** Removes what is known of an upstream. */
    remove(key: number): void {
        for (const { upstreams } of this.#kinds.values()) {
            upstreams.delete(key);
        }
    }

    /** Returns the number of measured upstreams for each kind of work, summed up. */
    count(): number {
        let sum = 0;
        for (const { upstreams } of this.#kinds.values()) {
            sum += upstreams.size;
        }
        return sum;
    }

    /** Returns the mean variance of the logarithm of samples of a pool, of all kinds of work. */
    getVariance(pool: string): number {
        let squares = 0;
        let samples = 0;
        for (const kind of this.#kinds.values()) {
            if (kind.pool === pool) {
                squares += getResidualSquares(kind);
                samples += kind.samples;
            }
        }
        return (squares + initialVariance * initialSamples) / (samples + initialSamples);
    }

    /**
     * Returns the measured paces by upstream.
     * @param now - Monotonic milliseconds.
     * @param getLogPace - Returns what is known of the pace of an upstream, as a logarithm; 0 if nothing is.
     */
    estimate(now: number, getLogPace: (key: number) => number): ReadonlyMap<number, PaceEstimate> {
        const sums = new Map<number, { weight: number; logPace: number; }>();
        for (const [name, kind] of this.#kinds) {
            forgetOld(kind, now);
            if (kind.upstreams.size === 0) {
                this.#kinds.delete(name);
            }
            addEstimates(sums, kind, getLogPace);
        }
        for (const sum of sums.values()) {
            sum.logPace /= sum.weight;
        }
        return sums;
    }

    #getKind(pool: string, work: string): Kind {
        const name = JSON.stringify([pool, work]);
        const upstreams = new Map<number, UpstreamSums>();
        const kind = this.#kinds.get(name)
            ?? { pool, upstreams, fillSquares: 0, products: 0, timeSquares: 0, samples: 0 };
        // The one that was used last is at the end.
        this.#kinds.delete(name);
        this.#kinds.set(name, kind);
        for (const oldest of this.#kinds.keys()) {
            if (this.#kinds.size <= maxKinds) {
                break;
            }
            this.#kinds.delete(oldest);
        }
        return kind;
    }
}

function createSums(time: number, fill: number, now: number): UpstreamSums {
    return { weight: 1, time, fill, lastTime: time, lastFill: fill, agedAt: now, longer: 0, shorter: 0 };
}

function age(sums: UpstreamSums, now: number): void {
    sums.weight *= 0.5 ** ((now - sums.agedAt) / paceHalfLifeMilliseconds);
    sums.agedAt = now;
}

function addToSums(sums: UpstreamSums, time: number, fill: number): void {
    sums.weight += 1;
    sums.time += (time - sums.time) / sums.weight;
    sums.fill += (fill - sums.fill) / sums.weight;
}

function addDifference(kind: Kind, sums: UpstreamSums, time: number, fill: number): void {
    const bound = maxDeviations * Math.sqrt(2 * getVariance(kind));
    const timeDifference = Math.min(bound, Math.max(-bound, time - sums.lastTime));
    const fillDifference = fill - sums.lastFill;
    kind.fillSquares += fillDifference ** 2 / 2 - forgetting * kind.fillSquares;
    kind.products += fillDifference * timeDifference / 2 - forgetting * kind.products;
    kind.timeSquares += timeDifference ** 2 / 2 - forgetting * kind.timeSquares;
    kind.samples += 1 - forgetting * kind.samples;
    sums.lastTime = time;
    sums.lastFill = fill;
}

/** Returns by how much the logarithm of the time grows with fill, at the same upstream. */
function getSlope({ products, fillSquares }: Kind): number {
    return Math.min(maxSlope, Math.max(0, products / (fillSquares + slopeRidge)));
}

function getResidualSquares(kind: Kind): number {
    return Math.max(0, kind.timeSquares - getSlope(kind) * kind.products);
}

function getVariance(kind: Kind): number {
    return (getResidualSquares(kind) + initialVariance * initialSamples) / (kind.samples + initialSamples);
}

function forgetOld({ upstreams }: Kind, now: number): void {
    for (const [key, sums] of upstreams) {
        age(sums, now);
        if (sums.weight < minWeight) {
            upstreams.delete(key);
        }
    }
}

/**
 * Adds the paces measured by one kind of work. An upstream is compared with the others, each corrected by what is known of its pace. The
 * weight is that of the difference of two means: an upstream without others to compare with says nothing.
 */
function addEstimates(
    sums: Map<number, { weight: number; logPace: number; }>,
    kind: Kind,
    getLogPace: (key: number) => number,
): void {
    const slope = getSlope(kind);
    let allWeight = 0;
    let allTime = 0;
    for (const [key, { weight, time, fill }] of kind.upstreams) {
        allWeight += weight;
        allTime += weight * (time - slope * fill - getLogPace(key));
    }
    for (const [key, { weight, time, fill }] of kind.upstreams) {
        const own = time - slope * fill;
        const otherWeight = allWeight - weight;
        if (otherWeight < minWeight) {
            continue;
        }
        const usual = (allTime - weight * (own - getLogPace(key))) / otherWeight;
        const differenceWeight = weight * otherWeight / allWeight;
        const sum = sums.get(key) ?? { weight: 0, logPace: 0 };
        sum.weight += differenceWeight;
        sum.logPace += differenceWeight * (own - usual);
        sums.set(key, sum);
    }
}
