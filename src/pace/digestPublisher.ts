/**
 * Decides what a node tells the others of the paces that it has measured, and when.
 */
import type { Clock, RandomSource } from "../common/index.js";
import { paceHalfLifeMilliseconds } from "./localPaces.js";
import type { PaceEstimate } from "./mergePaces.js";
import { classifyPace } from "./paceClass.js";
import { encodePaceDigest, maxDigestEntries } from "./paceDigest.js";

/**
 * Bytes of digests a second that each node may have to pass on, for each 100 upstreams, and the number of hundreds up to which it
 * grows.
 */
const bytesPerSecond = 1_000;
const maxHundreds = 4;
/** Number of times that gossip sends a value to each node, since peers know only later who has it. */
const redundancy = 2.5;
/** Bytes of origin, key and version that gossip adds to a value. */
const overheadBytes = 60;
/** Number of digests that a node may publish ahead of its rate, and the shortest time between two. */
const burst = 3;
const minIntervalMilliseconds = 500;
/** Number of peers to which each node pushes an urgent value. */
const urgentCost = 3;
/** Samples from which a node tells others at once of an upstream in another class. */
const minUrgentWeight = 2;
/** Weight from which a measurement is worth telling. */
const minWeight = 0.5;
/** Standard error with which the pace of an upstream is known well enough. */
const maxError = 0.05;
/** Smallest difference worth telling, on the logarithm. */
const minDifference = 0.1;
const deviations = 2;

/** What the other nodes have told of an upstream. */
export interface TellablePace {
    /** Median of the logarithm of its pace. */
    readonly median: number;
    /** Number of samples that it counts for. */
    readonly weight: number;
    /** Variance of the logarithm of one sample in its pool. */
    readonly variance: number;
}

/** What a decision is based on. */
export interface PublisherView {
    /** What this node has measured. */
    readonly own: ReadonlyMap<number, PaceEstimate>;
    /** The registered upstreams. */
    readonly others: ReadonlyMap<number, TellablePace>;
    readonly nodeCount: number;
    readonly upstreamCount: number;
}

/** Options of `DigestPublisher`. */
export interface DigestPublisherOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly publish: (digest: Buffer, isUrgent: boolean) => void;
}

/** Publishes the digests of a node. */
export class DigestPublisher {
    readonly #options: DigestPublisherOptions;
    #published: ReadonlyMap<number, PaceEstimate> = new Map();
    #publishedAt: number;
    /** Monotonic time up to which the bytes of earlier digests use up the rate. */
    #usedUntil = Number.NEGATIVE_INFINITY;
    readonly #startedAt: number;
    #urgentAt: number | undefined;

    constructor(options: DigestPublisherOptions) {
        this.#options = options;
        this.#startedAt = options.clock.monotonic();
        // Nodes that were started together don't publish together.
        this.#publishedAt = this.#startedAt + options.random.next() * minIntervalMilliseconds;
    }

    /** Publishes a digest if there is something to tell and it is due. */
    update(view: PublisherView): void {
        const now = this.#options.clock.monotonic();
        if (view.nodeCount < 2 || now - this.#publishedAt < minIntervalMilliseconds) {
            return;
        }
        const told = selectWorthTelling(view);
        if (!this.#isChanged(told, view, now)) {
            return;
        }
        const bytes = encodePaceDigest({ measuredAt: this.#options.clock.wall(), estimates: told });
        const interval = getInterval(bytes.length + overheadBytes, view);
        this.#urgentAt ??= this.#startedAt + this.#options.random.next() * urgentCost * interval;
        const isUrgent = now >= this.#urgentAt && isClassChanged(told, view.others);
        if (!isUrgent && now < this.#usedUntil - (burst - 1) * interval) {
            return;
        }
        const cost = isUrgent ? urgentCost * interval : interval;
        this.#usedUntil = Math.max(this.#usedUntil, now) + cost;
        if (isUrgent) {
            this.#urgentAt = now + cost;
        }
        this.#published = told;
        this.#publishedAt = now;
        this.#options.publish(bytes, isUrgent);
    }

    #isChanged(told: ReadonlyMap<number, PaceEstimate>, { others }: PublisherView, now: number): boolean {
        const share = 0.5 ** ((now - this.#publishedAt) / paceHalfLifeMilliseconds);
        for (const [key, { logPace, weight }] of told) {
            const known = this.#published.get(key);
            if (
                known === undefined || known.weight * share < weight / 2
                || Math.abs(known.logPace - logPace) > getNoise(others.get(key)?.variance ?? 0, weight)
            ) {
                return true;
            }
        }
        return false;
    }
}

function getNoise(variance: number, weight: number): number {
    return Math.max(minDifference, deviations * Math.sqrt(variance / weight));
}

/** Selects the upstreams of which the others know too little or something else, those with the most samples first. */
function selectWorthTelling({ own, others }: PublisherView): ReadonlyMap<number, PaceEstimate> {
    const selected: (readonly [number, PaceEstimate])[] = [];
    for (const entry of own) {
        const [key, { logPace, weight }] = entry;
        const known = others.get(key);
        if (known === undefined || weight < minWeight) {
            continue;
        }
        const isUnknown = known.weight < known.variance / maxError ** 2;
        if (isUnknown || Math.abs(logPace - known.median) > getNoise(known.variance, weight)) {
            selected.push(entry);
        }
    }
    return new Map(selected.toSorted(([, left], [, right]) => right.weight - left.weight).slice(0, maxDigestEntries));
}

function isClassChanged(
    told: ReadonlyMap<number, PaceEstimate>,
    others: ReadonlyMap<number, TellablePace>,
): boolean {
    for (const [key, { logPace, weight }] of told) {
        const known = others.get(key)?.median ?? 0;
        if (weight >= minUrgentWeight && classifyPace(Math.exp(logPace)) !== classifyPace(Math.exp(known))) {
            return true;
        }
    }
    return false;
}

/** Returns the milliseconds between two digests of each node with which all of them keep the rate. */
function getInterval(bytes: number, { nodeCount, upstreamCount }: PublisherView): number {
    const hundreds = Math.min(maxHundreds, Math.max(1, upstreamCount / 100));
    return nodeCount * bytes * redundancy * 1_000 / (bytesPerSecond * hundreds);
}
