/**
 * What the whole system has seen of each version in each class of request: a state-based CRDT of integer counts.
 *
 * Each node counts only its own answers and publishes its counts whole; a newer publication replaces an older one of
 * the same node. Repeats, losses and reordering of messages are therefore harmless, and the merged counts are the
 * same on every node once it has the newest publication of each.
 */
import type { Clock } from "../../common/index.js";
import { type Bucket, BucketSeries, type EncodedBucket } from "./bucketSeries.js";
import { type EncodedEscalation, type EscalationCounts, Escalations } from "./escalations.js";
import { Tally } from "./tally.js";

const defaultEpochMilliseconds = 1000;
const defaultHalfLifeMilliseconds = 3_600_000;
/** After so many half-lives a departed node's counts no longer matter. */
const retainedHalfLives = 8;

/** Counts of one version in one class as they travel. */
export interface EncodedSeries {
    /** The node's sequence when these counts last changed; the greater one replaces the smaller one. */
    readonly sequence: number;
    readonly version: string;
    readonly requestClass: string;
    readonly buckets: readonly EncodedBucket[];
}

/** All counts of one node as they travel; plain JSON. */
export interface EvidenceCounts {
    /** Grows with each change of any count. */
    readonly sequence: number;
    readonly series: readonly EncodedSeries[];
    readonly escalations: readonly EncodedEscalation[];
}

/** Options of `Evidence`. */
export interface EvidenceOptions {
    readonly clock: Clock;
    /** The finest step in time that is told apart. */
    readonly epochMilliseconds?: number;
    /** After this time a count weighs half in `getRecent`. */
    readonly halfLifeMilliseconds?: number;
}

/** A rating of one answer. */
export interface RatingInput {
    readonly version: string;
    readonly requestClass: string;
    /** From 0 to 1. */
    readonly score: number;
    /** Wall-clock milliseconds of the answer; now by default. Ratings come late, and a change is dated by answers. */
    readonly answeredAt?: number;
}

/** One finished answer. */
export interface AnswerInput {
    readonly version: string;
    readonly requestClass: string;
    readonly failed: boolean;
    /** Whether it was over the latency target. */
    readonly slow: boolean;
    readonly answeredAt?: number;
}

/** An answer that was rated too low, with the rating of the answer that it was escalated to. */
export interface EscalationInput {
    readonly first: string;
    readonly second: string;
    readonly requestClass: string;
    readonly firstScore: number;
    readonly secondScore: number;
}

/** Counts with what they weigh at their age. */
export interface WeightedBucket {
    /** The first epoch. */
    readonly start: number;
    readonly tally: Tally;
    readonly weight: number;
}

interface Cell {
    /** The node's sequence. */
    sequence: number;
    /** The revision here when the cell last changed. */
    revision: number;
    readonly series: BucketSeries;
}

interface NodeCounts {
    sequence: number;
    departed: boolean;
    /** By version, then by class. */
    readonly cells: Map<string, Map<string, Cell>>;
    escalations: Escalations;
}

/** Counts answers and ratings here and merges the counts of other nodes. */
export class Evidence {
    readonly #clock: Clock;
    readonly #epochMilliseconds: number;
    readonly #halfLifeEpochs: number;
    readonly #own: NodeCounts = createNodeCounts();
    readonly #others = new Map<string, NodeCounts>();
    #revision = 0;
    /** The revision when a node's counts were last dropped. */
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

    /** Wall-clock milliseconds at which a rating last came in at this node, or `undefined`. */
    get lastRatingAt(): number | undefined {
        return this.#lastRatingAt;
    }

    /** The finest step in time that is told apart. */
    get epochMilliseconds(): number {
        return this.#epochMilliseconds;
    }

    /** Gets the epoch of a wall-clock time. */
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
     * Counts an escalation of this node. The second rating is counted here only, never by `addRating`: it belongs to a
     * request that was hard for the first version, and would make the second one look worse than it is.
     */
    addEscalation(escalation: EscalationInput): void {
        this.#own.escalations.add(escalation);
        this.#incrementOwnSequence();
    }

    /**
     * Returns counts of this node, to be published to the others.
     * @param since - A sequence that the receiver has: only counts that changed after it are returned. All by default.
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
     * Takes in the counts that another node published.
     * @param origin - The node's name, unique over time: a restarted node counts from zero under a new name.
     * @param counts - What its `exportOwn` returned.
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
     * Marks a node as departed. What it saw stays known until it is too old to matter.
     * @param origin - The node's name.
     */
    forget(origin: string): void {
        const known = this.#others.get(origin);
        if (known !== undefined) {
            known.departed = true;
        }
        this.#dropExpired();
    }

    /** Gets the classes in which a version was seen. */
    getClasses(version: string): ReadonlySet<string> {
        const classes = new Set<string>();
        for (const node of this.#getNodes()) {
            for (const requestClass of node.cells.get(version)?.keys() ?? []) {
                classes.add(requestClass);
            }
        }
        return classes;
    }

    /** Gets a number that changes with the counts of a version and class. */
    getRevision(version: string, requestClass: string): number {
        let revision = 0;
        for (const node of this.#getNodes()) {
            revision += node.cells.get(version)?.get(requestClass)?.revision ?? 0;
        }
        return revision + this.#droppedAtRevision;
    }

    /** Gets the buckets of all nodes for a version and class, in no particular order. */
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

    /** Gets the buckets of all nodes for a version and class with what each weighs now, in no particular order. */
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

    /** Gets the merged counts of a version and class with old ones weighing less. */
    getDecayedTally(version: string, requestClass: string): Tally {
        const total = new Tally();
        for (const bucket of this.getBuckets(version, requestClass)) {
            total.add(bucket.tally, this.getWeight(bucket));
        }
        return total;
    }

    /** Gets how much a bucket weighs at its age: 1 when new, half of it after each half-life. */
    getWeight(bucket: Bucket): number {
        return this.#getWeightAt(bucket, this.getEpoch(this.#clock.wall()));
    }

    /** Gets the merged counts of escalations in a class, by pair of versions. */
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
        const oldest = this.getEpoch(this.#clock.wall()) - retainedHalfLives * this.#halfLifeEpochs;
        for (const [origin, node] of this.#others) {
            if (node.departed && getNewestEpoch(node) < oldest) {
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
    return { sequence: 0, departed: false, cells: new Map(), escalations: new Escalations() };
}

function getNewestEpoch(node: NodeCounts): number {
    let newest = -Infinity;
    for (const classes of node.cells.values()) {
        for (const { series } of classes.values()) {
            newest = Math.max(newest, series.getBuckets().at(-1)?.start ?? -Infinity);
        }
    }
    return newest;
}

function getOrInsert<K, V>(map: Map<K, V>, key: K, create: () => V): V {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
}
