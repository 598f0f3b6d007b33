/**
 * The posterior of each version's rated quality in each class. Classes and versions share information.
 *
 * A quality is modelled as the operator's expectation, plus a class effect, plus a version effect, plus a residual of
 * the pair of class and version. A few ratings of any version show how easy a class is for all versions, and ratings in
 * any class show by how much the operator's expectation of a version is off. Without this sharing a new class would
 * start with no information, and its callers would pay for the most expensive version until there are enough ratings.
 */
import type { Clock } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";
import { type CellCounts, readCell } from "./cellCounts.js";
import {
    combineByPrecision,
    type Difficulty,
    estimateDifficulty,
    getPairedMeans,
    getSlopeSums,
    type PairedMean,
    type SlopeSums,
} from "./difficulty.js";
import type { Evidence } from "./evidence.js";
import type { QualityEstimate } from "./qualityEstimate.js";

/**
 * Prior standard deviations of the class effect (how easy a class is) and of the error of the operator's expectation.
 */
const classDeviation = 0.15;
const versionDeviation = 0.08;
/** Prior standard deviation of the residual, and the number of pairs that this prior counts as. */
const residualDeviation = 0.08;
const residualWeight = 12;
const minResidualDeviation = 0.04;
const maxResidualDeviation = 0.15;
/**
 * Beyond this number of standard deviations a pair's weight in the shared effects is reduced: such a residual is
 * peculiar to the version in that class and says nothing about other classes.
 */
const outlierDeviations = 2;

/** The weights of counts decrease with age, so unchanged counts are read again after this time. */
const rereadMilliseconds = 60_000;

interface Effect {
    readonly mean: number;
    readonly variance: number;
}

/** The observations of one pair of version and class. */
interface Cell {
    readonly expectedQuality: number;
    readonly counts: CellCounts;
    /** Mean and precision of the scores, with those of escalated requests corrected for their difficulty. */
    observed: PairedMean;
    /** Monotonic milliseconds. */
    readonly readAt: number;
}

/** Caches the counts of each version and class, and computes posteriors from them. */
export class QualityModel {
    readonly #evidence: Evidence;
    readonly #clock: Clock;
    /** By class, then by version. */
    readonly #classes = new Map<string, Map<string, Cell>>();
    readonly #classEffects = new Map<string, Effect>();
    readonly #versionEffects = new Map<string, Effect>();
    readonly #slopes = new Map<string, SlopeSums>();
    readonly #difficulties = new Map<string, Difficulty>();
    #residualVariance = residualDeviation ** 2;

    constructor(evidence: Evidence, clock: Clock) {
        this.#evidence = evidence;
        this.#clock = clock;
    }

    /**
     * Reads the counts of a version in a class if they changed or became outdated since the last read.
     * @returns Whether they were read.
     */
    refresh(version: ModelVersion, requestClass: string): boolean {
        const known = this.#classes.get(requestClass)?.get(version.id);
        const now = this.#clock.monotonic();
        const isRecent = known !== undefined && now - known.readAt < rereadMilliseconds;
        if (isRecent && known.counts.revision === this.#evidence.getRevision(version.id, requestClass)) {
            return false;
        }
        const counts = readCell(this.#evidence, version.id, requestClass);
        this.#setCell(version, requestClass, { counts, observed: counts, readAt: now });
        return true;
    }

    /** Updates a version's expected quality, and reads its counts if they have not been read yet. */
    ensureRead(version: ModelVersion, requestClass: string): void {
        const known = this.#classes.get(requestClass)?.get(version.id);
        if (known === undefined) {
            this.refresh(version, requestClass);
        }
        else {
            this.#setCell(version, requestClass, known);
        }
    }

    #setCell(version: ModelVersion, requestClass: string, cell: Omit<Cell, "expectedQuality">): void {
        let cells = this.#classes.get(requestClass);
        if (cells === undefined) {
            cells = new Map();
            this.#classes.set(requestClass, cells);
        }
        cells.set(version.id, { ...cell, expectedQuality: version.expectedQuality });
    }

    /** Recomputes the effects of a class and its versions after counts were read. */
    fit(requestClass: string, versions: readonly ModelVersion[]): void {
        this.#applyEscalations(requestClass);
        this.#residualVariance = this.#estimateResidualVariance();
        this.#classEffects.set(requestClass, this.#getClassEffect(requestClass, undefined));
        for (const { id } of versions) {
            this.#versionEffects.set(id, this.#getVersionEffect(id, undefined));
        }
    }

    /** Returns the posterior of a version in a class. Its counts must have been read before. */
    getEstimate(version: ModelVersion, requestClass: string): QualityEstimate {
        const { counts, expectedQuality, observed } = this.#classes.get(requestClass)!.get(version.id)!;
        const classEffect = this.#getClassEffect(requestClass, version.id);
        const versionEffect = this.#getVersionEffect(version.id, requestClass);
        const priorMean = Math.min(1, Math.max(0, expectedQuality + classEffect.mean + versionEffect.mean));
        const priorPrecision = 1 / (classEffect.variance + versionEffect.variance + this.#residualVariance);
        const precision = priorPrecision + observed.precision;
        const directPrecision = priorPrecision + counts.precision;
        return {
            version,
            scores: counts.scores,
            mean: (priorPrecision * priorMean + observed.precision * observed.mean) / precision,
            deviation: Math.sqrt(1 / precision),
            directMean: (priorPrecision * priorMean + counts.precision * counts.mean) / directPrecision,
            directDeviation: Math.sqrt(1 / directPrecision),
            scoreVariance: counts.variance,
        };
    }

    /** Returns how much the difficult requests of a class lower the second answer's score. */
    getDifficulty(requestClass: string): Difficulty {
        return this.#difficulties.get(requestClass)!;
    }

    #applyEscalations(requestClass: string): void {
        const pairs = this.#evidence.getEscalations(requestClass);
        this.#slopes.set(requestClass, getSlopeSums(pairs));
        const difficulty = estimateDifficulty(this.#slopes.values(), pairs);
        this.#difficulties.set(requestClass, difficulty);
        const cells = this.#classes.get(requestClass);
        const paired = getPairedMeans(difficulty, version => {
            const counts = cells?.get(version)?.counts;
            return counts !== undefined && counts.precision > 0 ? counts.mean : undefined;
        });
        for (const [version, cell] of cells ?? []) {
            const own = paired.get(version);
            cell.observed = own === undefined ? cell.counts : combineByPrecision(cell.counts, own);
        }
    }

    /** @param excludedVersion - A version whose own counts are excluded. */
    #getClassEffect(requestClass: string, excludedVersion: string | undefined): Effect {
        const sum = new EffectSum(classDeviation, this.#residualVariance);
        for (const [version, { expectedQuality, observed }] of this.#classes.get(requestClass) ?? []) {
            if (version !== excludedVersion && observed.precision > 0) {
                const other = this.#versionEffects.get(version);
                sum.add(observed.mean - expectedQuality - (other?.mean ?? 0), observed.precision, other?.variance);
            }
        }
        return sum.getEffect();
    }

    /** @param excludedClass - A class whose own counts are excluded. */
    #getVersionEffect(version: string, excludedClass: string | undefined): Effect {
        const sum = new EffectSum(versionDeviation, this.#residualVariance);
        for (const [requestClass, cells] of this.#classes) {
            const cell = cells.get(version);
            if (cell !== undefined && requestClass !== excludedClass && cell.observed.precision > 0) {
                const { mean, precision } = cell.observed;
                const other = this.#classEffects.get(requestClass);
                sum.add(mean - cell.expectedQuality - (other?.mean ?? 0), precision, other?.variance);
            }
        }
        return sum.getEffect();
    }

    /** Estimates the variance of the residual from the pairs with precise observations. */
    #estimateResidualVariance(): number {
        let squares = residualWeight * residualDeviation ** 2;
        let weight = residualWeight;
        for (const [name, cells] of this.#classes) {
            const classEffect = this.#classEffects.get(name);
            for (const [version, { expectedQuality, observed }] of cells) {
                const versionEffect = this.#versionEffects.get(version);
                if (classEffect === undefined || versionEffect === undefined || observed.precision === 0) {
                    continue;
                }
                const noise = 1 / observed.precision;
                const residual = observed.mean - expectedQuality - classEffect.mean - versionEffect.mean;
                const share = this.#residualVariance / (this.#residualVariance + noise);
                const bounded = Math.min(residual ** 2, maxResidualDeviation ** 2);
                squares += share * Math.max(0, bounded - noise);
                weight += share;
            }
        }
        const variance = squares / weight;
        return Math.min(maxResidualDeviation ** 2, Math.max(minResidualDeviation ** 2, variance));
    }
}

/** Accumulates the precision-weighted observations of an effect that several pairs share. */
class EffectSum {
    readonly #residualVariance: number;
    #precision: number;
    #sum = 0;

    constructor(deviation: number, residualVariance: number) {
        this.#residualVariance = residualVariance;
        this.#precision = 1 / deviation ** 2;
    }

    add(difference: number, precision: number, otherVariance = 0): void {
        const variance = this.#residualVariance + 1 / precision + otherVariance;
        const excess = Math.abs(difference - this.#sum / this.#precision) / Math.sqrt(variance + 1 / this.#precision);
        const weight = Math.min(1, outlierDeviations / Math.max(excess, 1e-9)) / variance;
        this.#sum += weight * difference;
        this.#precision += weight;
    }

    getEffect(): Effect {
        return { mean: this.#sum / this.#precision, variance: 1 / this.#precision };
    }
}
