/**
 * What the other nodes have measured.
 */
import type { Clock } from "../common/index.js";
import { paceHalfLifeMilliseconds } from "./localPaces.js";
import { insertByPace, type PaceEstimate } from "./mergePaces.js";
import type { PaceDigest } from "./paceDigest.js";

/** Age in half-lives at which a digest is forgotten. */
const maxHalfLives = 8;

/** An estimate of another node, whose weight is that of its age. */
interface HeardEstimate extends PaceEstimate {
    weight: number;
}

interface HeardDigest {
    /** Monotonic time of the measurement. */
    readonly measuredAt: number;
    /** By key of the upstream's incarnation, with the weight at the measurement. */
    readonly estimates: readonly {
        readonly key: number;
        readonly measuredWeight: number;
        readonly estimate: HeardEstimate;
    }[];
}

/**
 * Keeps the newest digest of each other node. Digests come rarely and are merged often, so the estimates of each upstream stay sorted,
 * and only their weights change from one merge to the next.
 */
export class HeardPaces {
    readonly #clock: Clock;
    readonly #digests = new Map<string, HeardDigest>();
    /** By key of the upstream's incarnation, ordered by their paces. */
    readonly #estimates = new Map<number, HeardEstimate[]>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Replaces the digest of a node. One that was on its way for long counts from its measurement on. */
    set(origin: string, { measuredAt, estimates }: PaceDigest): void {
        this.#remove(origin);
        const age = Math.max(0, this.#clock.wall() - measuredAt);
        const entries = [...estimates].map(([key, { logPace, weight }]) => ({
            key,
            measuredWeight: weight,
            estimate: { logPace, weight },
        }));
        this.#digests.set(origin, { measuredAt: this.#clock.monotonic() - age, estimates: entries });
        for (const { key, estimate } of entries) {
            const known = this.#estimates.get(key);
            if (known === undefined) {
                this.#estimates.set(key, [estimate]);
            }
            else {
                insertByPace(known, estimate);
            }
        }
    }

    /** Returns all estimates by upstream, ordered by their paces, with weights by age. They hold until the next call. */
    collect(): ReadonlyMap<number, readonly PaceEstimate[]> {
        const now = this.#clock.monotonic();
        for (const [origin, { measuredAt, estimates }] of this.#digests) {
            const halfLives = (now - measuredAt) / paceHalfLifeMilliseconds;
            if (halfLives > maxHalfLives) {
                this.#remove(origin);
                continue;
            }
            const share = 0.5 ** halfLives;
            for (const { measuredWeight, estimate } of estimates) {
                estimate.weight = measuredWeight * share;
            }
        }
        return this.#estimates;
    }

    #remove(origin: string): void {
        const digest = this.#digests.get(origin);
        this.#digests.delete(origin);
        for (const { key, estimate } of digest?.estimates ?? []) {
            const known = this.#estimates.get(key)!;
            known.splice(known.indexOf(estimate), 1);
            if (known.length === 0) {
                this.#estimates.delete(key);
            }
        }
    }
}
