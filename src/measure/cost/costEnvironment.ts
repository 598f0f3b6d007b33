/**
 * The simulated environment of the cost measurement, drawn from a seed: versions with true qualities that only the
 * oracle reads, request classes, and events that change them.
 */
import { RandomSource } from "../../common/index.js";
import type { ModelVersion } from "../../world/index.js";

/** Duration of a run. The times of the events below are in milliseconds from its start. */
export const runMilliseconds = 3_600_000;
/** Time between two requests, in milliseconds. */
export const requestIntervalMilliseconds = 50;

/** Time at which the quality of one version drops in the class `degradingClass`. */
export const degradedAt = 0.15 * runMilliseconds;
/** The class in which one version has a high quality at first and a low one later. */
export const degradingClass = "deceiving";
/** Time at which the prices of two versions change. */
export const priceChangeAt = 0.5 * runMilliseconds;
const newClassAt = 0.6 * runMilliseconds;
/** Ten minutes in which the rating service is unavailable. */
export const outage = { from: 0.3 * runMilliseconds, until: 0.3 * runMilliseconds + 600_000 } as const;

const inputPrices = [0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 8];
const outputFactor = 4;
const degradingVersion = 1;
const priceIncreaseVersion = 4;
const priceDecreaseVersion = 7;
const answerDeviation = 0.15;
/** Share of the variance of answers that is due to the difficulty of the request, which is common to all versions. */
const sharedVariance = 0.5;
const ratingNoise = 0.05;

/** A request class. */
export interface CostClass {
    readonly name: string;
    readonly targetQuality: number;
    readonly inputTokens: number;
    readonly outputTokens: number;
    readonly weight: number;
    /** Added to every version's quality. */
    readonly qualityOffset: number;
    readonly firstSeenAt: number;
}

/** The request classes of all runs, modelled on the two users' workloads. */
export const costClasses: readonly CostClass[] = [
    createClass("wear-tags", { inputTokens: 400, outputTokens: 20, qualityOffset: 0.22, weight: 3 }),
    createClass("kitchen-queries", { inputTokens: 600, outputTokens: 150, qualityOffset: 0.12, weight: 3 }),
    createClass("bench-answers", { inputTokens: 1500, outputTokens: 300, qualityOffset: 0.03, weight: 2 }),
    createClass("regrinding-plans", { inputTokens: 40_000, outputTokens: 800, qualityOffset: -0.04 }),
    createClass("label-drafts", { inputTokens: 1200, outputTokens: 400, qualityOffset: 0 }),
    createClass("allergens", { inputTokens: 2000, outputTokens: 120, qualityOffset: 0, targetQuality: 0.87 }),
    createClass(degradingClass, { inputTokens: 1000, outputTokens: 200, qualityOffset: 0.05 }),
    createClass("new-class", { inputTokens: 1000, outputTokens: 200, qualityOffset: 0.05, firstSeenAt: newClassAt }),
];

function createClass(name: string, options: Partial<CostClass>): CostClass {
    return {
        name,
        targetQuality: 0.8,
        inputTokens: 1000,
        outputTokens: 200,
        weight: 1,
        qualityOffset: 0,
        firstSeenAt: 0,
        ...options,
    };
}

/** Simulates the versions of one seed and their true qualities over time. */
export class CostEnvironment {
    readonly #initialVersions: readonly ModelVersion[];
    readonly #repricedVersions: readonly ModelVersion[];
    readonly #qualities: readonly (readonly number[])[];

    constructor(seed: number) {
        const random = new RandomSource(seed);
        const base = inputPrices.map((...[, index]) => 0.56 + 0.036 * index + 0.02 * random.nextNormal());
        this.#initialVersions = inputPrices.map((price, index) => createVersion(index, price, base[index], random));
        this.#repricedVersions = this.#initialVersions.map((version, index) => changePrice(version, index));
        this.#qualities = costClasses.map(({ qualityOffset }) =>
            base.map((quality, index) => {
                const deviation = index === inputPrices.length - 1 ? 0.02 : 0.05 * random.nextNormal();
                return Math.min(0.97, quality + qualityOffset + deviation);
            })
        );
    }

    /** Returns the versions with their prices at a time. */
    getVersions(time: number): readonly ModelVersion[] {
        return time < priceChangeAt ? this.#initialVersions : this.#repricedVersions;
    }

    /**
     * Returns the number of the phase at a time. Within a phase, qualities, prices and the availability of ratings are
     * constant, so the oracle caches its plans by phase.
     */
    getPhase(time: number): number {
        const phaseStarts = [degradedAt, outage.from, outage.until, priceChangeAt];
        return phaseStarts.filter(start => time >= start).length;
    }

    /**
     * Draws the true quality of every version's answer to one request.
     * @param classIndex - The index of the request class.
     */
    drawAnswers(classIndex: number, time: number, random: RandomSource): readonly number[] {
        const difficulty = random.nextNormal();
        return this.#qualities[classIndex].map((quality, index) => {
            const mean = this.#isDegrading(classIndex, index) ? (time < degradedAt ? 0.9 : 0.6) : quality;
            const deviation = Math.sqrt(sharedVariance) * difficulty
                + Math.sqrt(1 - sharedVariance) * random.nextNormal();
            return clamp(mean + answerDeviation * deviation);
        });
    }

    #isDegrading(classIndex: number, versionIndex: number): boolean {
        return costClasses[classIndex].name === degradingClass && versionIndex === degradingVersion;
    }
}

/** Draws the rating of an answer. */
export function drawRating(quality: number, random: RandomSource): number {
    return clamp(quality + ratingNoise * random.nextNormal());
}

/** Returns whether the rating service is unavailable at a time. */
export function isRatingUnavailable(time: number): boolean {
    return time >= outage.from && time < outage.until;
}

function createVersion(index: number, inputPrice: number, quality: number, random: RandomSource): ModelVersion {
    return {
        id: `model-${index}@1`,
        model: `model-${index}`,
        status: "serving",
        inputPrice,
        outputPrice: outputFactor * inputPrice,
        expectedQuality: clamp(quality + 0.05 * random.nextNormal()),
    };
}

function changePrice(version: ModelVersion, index: number): ModelVersion {
    const factor = index === priceIncreaseVersion ? 3 : index === priceDecreaseVersion ? 0.3 : 1;
    return { ...version, inputPrice: factor * version.inputPrice, outputPrice: factor * version.outputPrice };
}

function clamp(value: number): number {
    return Math.min(1, Math.max(0, value));
}
