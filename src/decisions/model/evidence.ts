/**
 * Counts of what all nodes have observed of each version in each request class: a state-based CRDT of integer counts.
 *
 * Each node counts only its own answers and publishes its complete counts. A newer publication replaces an older one of
 * the same node. Repeated, lost and reordered messages are therefore harmless, and the merged counts are the same on
 * every node that has received the newest publication of each node.
 */
import type { Clock } from "../../common/index.js";
import { type Bucket, BucketSeries, type EncodedBucket } from "./bucketSeries.js";
import { type EncodedEscalation, type EscalationCounts, Escalations } from "./escalations.js";
import { Tally } from "./tally.js";

const defaultEpochMilliseconds = 1000;
const defaultHalfLifeMilliseconds = 3_600_000;
/** After this number of half-lives the counts of a departed node are negligible. */
const retainedHalfLives = 8;

/** Counts of one version in one class, as they are sent to other nodes. */
export interface EncodedSeries {
    /**
     * The node's sequence number when these counts last changed. Counts with a greater one replace those with a
     * smaller.
     */
    readonly sequence: number;
    readonly version: string;
    readonly requestClass: string;
    readonly buckets: readonly EncodedBucket[];
}

/** All counts of one node as they are sent to other nodes, as plain JSON. */
export interface EvidenceCounts {
    /** Increases with each change of a count. */
    readonly sequence: number;
    readonly series: readonly EncodedSeries[];
    readonly escalations: readonly EncodedEscalation[];
}

/** Options of `Evidence`. */
export interface EvidenceOptions {
    readonly clock: Clock;
    /** Time resolution of the counts. */
    readonly epochMilliseconds?: number;
    /** Half-life of a count's weight in `getDecayedTally`. */
    readonly halfLifeMilliseconds?: number;
}

/** A rating of one answer. */
export interface RatingInput {
    readonly version: string;
    readonly requestClass: string;
    /** From 0 to 1. */
    readonly score: number;
    /** Wall-clock milliseconds of the answer; now by default. Ratings arrive late, and changes are dated by answers. */
    readonly answeredAt?: number;
}

/** One finished answer. */
export interface AnswerInput {
    readonly version: string;
    readonly requestClass: string;
    readonly failed: boolean;
    /** Whether the answer exceeded the latency target. */
    readonly slow: boolean;
    readonly answeredAt?: number;
}

/** An answer whose rating was too low, with the rating of the answer that it was escalated to. */
export interface EscalationInput {
    readonly first: string;
    readonly second: string;
    readonly requestClass: string;
    readonly firstScore: number;
    readonly secondScore: number;
}

/** Counts with their weight at their present age. */
export interface WeightedBucket {
    /** The first epoch. */
    readonly start: number;
    readonly tally: Tally;
    readonly weight: number;
}

interface Cell {
    /** The node's sequence number when the cell last changed. */
    sequence: number;
    /** The local revision when the cell last changed. */
    revision: number;
    readonly series: BucketSeries;
}

interface NodeCounts {
    sequence: number;
    isDeparted: boolean;
    /** By version, then by class. */
    readonly cells: Map<string, Map<string, Cell>>;
    escalations: Escalations;
}

/** Counts answers and ratings of this node and merges the counts of other nodes. */
export class Evidence {
    readonly #clock: Clock;
    readonly #epochMilliseconds: number;
    readonly #halfLifeEpochs: number;
    readonly #own: NodeCounts = createNodeCounts();
    readonly #others = new Map<string, NodeCounts>();
    #revision = 0;
    /** The revision at which the counts of a node were last dropped. */
    #droppedAtRevision = 0;
    #lastRatingAt: number | undefined;

    constructor(options: EvidenceOptions) {
        this.#clock = options.clock;
        this.#epochMilliseconds = options.epochMilliseconds ?? defaultEpochMilliseconds;
        const halfLife = options.halfLifeMilliseconds ?? defaultHalfLifeMilliseconds;
        this.#halfLifeEpochs = halfLife / this.#epochMilliseconds;
    }

    /** Changes with every count that is added or merged. */
    get revision(): number {
        return this.#revision;
    }

    /** Wall-clock milliseconds at which this node last received a rating, or `undefined`. */
    get lastRatingAt(): number | undefined {
        return this.#lastRatingAt;
    }

    /** Time resolution of the counts. */
    get epochMilliseconds(): number {
        return this.#epochMilliseconds;
    }

    /** Returns the epoch of a wall-clock time. */
    getEpoch(wallMilliseconds: number): number {
        return Math.floor(wallMilliseconds / this.#epochMilliseconds);
    }

    /** Counts a finished answer of this node. */
    addAnswer(answer: AnswerInput): void {
        this.#getOwnTally(answer).addAnswer(answer.failed, answer.slow);
    }

    /** Counts a rating of an answer of this node. */
    addRating(rating: RatingInput): void {
        this.#getOwnTally(rating).addRating(rating.score);
        this.#lastRatingAt = this.#clock.wall();
    }

    /**
     * Counts an escalation of this node. The second rating is counted here only and never by `addRating`: it belongs to
     * a request that was difficult for the first version, and would bias the second version's mean downwards.
     */
    addEscalation(escalation: EscalationInput): void {
        this.#own.escalations.add(escalation);
        this.#incrementOwnSequence();
    }

    /**
     * Returns the counts of this node for publication to other nodes.
     * @param since - A sequence number that the receiver has: only counts that changed after it are returned. All by
     * default.
     */
    exportOwn(since = 0): EvidenceCounts {
        const series: EncodedSeries[] = [];
        for (const [version, classes] of this.#own.cells) {
            for (const [requestClass, cell] of classes) {
                if (cell.sequence > since) {
                    series.push({ sequence: cell.sequence, version, requestClass, buckets: cell.series.encode() });
                }
            }
        }
        return { sequence: this.#own.sequence, series, escalations: this.#own.escalations.encode() };
    }

    /**
     * Merges counts that another node published.
     * @param origin - The node's name, unique over time: a restarted node counts from zero under a new name.
     * @param counts - The result of the node's `exportOwn`.
     */
    merge(origin: string, counts: EvidenceCounts): void {
        const node = getOrInsert(this.#others, origin, createNodeCounts);
        for (const { sequence, version, requestClass, buckets } of counts.series) {
            const classes = getOrInsert(node.cells, version, () => new Map<string, Cell>());
            if (sequence > (classes.get(requestClass)?.sequence ?? -1)) {
                this.#revision += 1;
                const series = BucketSeries.decode(buckets);
                classes.set(requestClass, { sequence, revision: this.#revision, series });
            }
        }
        if (counts.sequence > node.sequence) {
            node.sequence = counts.sequence;
            node.escalations = Escalations.decode(counts.escalations);
            this.#revision += 1;
        }
    }

    /**
     * Marks a node as departed. Its counts are retained until they are negligible.
     * @param origin - The node's name.
     */
    markDeparted(origin: string): void {
        const known = this.#others.get(origin);
        if (known !== undefined) {
            known.isDeparted = true;
        }
        this.#dropExpired();
    }

    /** Returns the classes in which a version has counts. */
    getClasses(version: string): ReadonlySet<string> {
        const classes = new Set<string>();
        for (const node of this.#getNodes()) {
            for (const requestClass of node.cells.get(version)?.keys() ?? []) {
                classes.add(requestClass);
            }
        }
        return classes;
    }

    /** Returns a number that changes whenever the counts of a version and class change. */
    getRevision(version: string, requestClass: string): number {
        let revision = 0;
        for (const node of this.#getNodes()) {
            revision += node.cells.get(version)?.get(requestClass)?.revision ?? 0;
        }
        return revision + this.#droppedAtRevision;
    }

    /** Returns the buckets of all nodes for a version and class, in no particular order. */
    getBuckets(version: string, requestClass: string): readonly Bucket[] {
        const buckets: Bucket[] = [];
        for (const node of this.#getNodes()) {
            const cell = node.cells.get(version)?.get(requestClass);
            if (cell !== undefined) {
                buckets.push(...cell.series.getBuckets());
            }
        }
        return buckets;
    }

    /** Returns the buckets of all nodes for a version and class with their current weights, in no particular order. */
    getWeightedBuckets(version: string, requestClass: string): WeightedBucket[] {
        const now = this.getEpoch(this.#clock.wall());
        const buckets: WeightedBucket[] = [];
        for (const node of this.#getNodes()) {
            for (const bucket of node.cells.get(version)?.get(requestClass)?.series.getBuckets() ?? []) {
                buckets.push({ start: bucket.start, tally: bucket.tally, weight: this.#getWeightAt(bucket, now) });
            }
        }
        return buckets;
    }

    /** Returns the merged counts of a version and class, with older counts weighted down. */
    getDecayedTally(version: string, requestClass: string): Tally {
        const total = new Tally();
        for (const bucket of this.getBuckets(version, requestClass)) {
            total.add(bucket.tally, this.getWeight(bucket));
        }
        return total;
    }

    /** Returns the weight of a bucket at its present age: 1 when new, halved after each half-life. */
    getWeight(bucket: Bucket): number {
        return this.#getWeightAt(bucket, this.getEpoch(this.#clock.wall()));
    }

    /** Returns the merged counts of escalations in a class, by pair of versions. */
    getEscalations(requestClass: string): readonly EscalationCounts[] {
        const total = new Escalations();
        for (const node of this.#getNodes()) {
            total.merge(node.escalations, requestClass);
        }
        return total.get(requestClass);
    }

    #getWeightAt(bucket: Bucket, now: number): number {
        const age = Math.max(0, now - bucket.start - (1 << bucket.level) / 2);
        return Math.exp(-Math.LN2 * age / this.#halfLifeEpochs);
    }

    #getOwnTally(input: { version: string; requestClass: string; answeredAt?: number; }): Tally {
        this.#incrementOwnSequence();
        const classes = getOrInsert(this.#own.cells, input.version, () => new Map<string, Cell>());
        const cell = getOrInsert(classes, input.requestClass, createCell);
        cell.sequence = this.#own.sequence;
        cell.revision = this.#revision;
        return cell.series.getTally(this.getEpoch(input.answeredAt ?? this.#clock.wall()));
    }

    #incrementOwnSequence(): void {
        this.#own.sequence += 1;
        this.#revision += 1;
    }

    *#getNodes(): Iterable<NodeCounts> {
        yield this.#own;
        yield* this.#others.values();
    }

    #dropExpired(): void {
        const earliestRetainedEpoch = this.getEpoch(this.#clock.wall()) - retainedHalfLives * this.#halfLifeEpochs;
        for (const [origin, node] of this.#others) {
            if (node.isDeparted && getLatestEpoch(node) < earliestRetainedEpoch) {
                this.#others.delete(origin);
                this.#revision += 1;
                this.#droppedAtRevision = this.#revision;
            }
        }
    }
}

function createCell(): Cell {
    return { sequence: 0, revision: 0, series: new BucketSeries() };
}

function createNodeCounts(): NodeCounts {
    return { sequence: 0, isDeparted: false, cells: new Map(), escalations: new Escalations() };
}

function getLatestEpoch(node: NodeCounts): number {
    let latest = -Infinity;
    for (const classes of node.cells.values()) {
        for (const { series } of classes.values()) {
            latest = Math.max(latest, series.getBuckets().at(-1)?.start ?? -Infinity);
        }
    }
    return latest;
}

function getOrInsert<K, V>(map: Map<K, V>, key: K, create: () => V): V {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
}
