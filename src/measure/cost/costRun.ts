/**
 * One run of the cost measurement: every strategy gets the same requests, answers and ratings. The model chooser runs
 * in four entries that share their evidence with a delay. Ratings are late, partial and noisy.
 */
import { ManualClock, RandomSource } from "../../common/index.js";
import { Evidence, ModelChooser, type Plan } from "../../decisions/model/index.js";
import { getPrice } from "../../world/index.js";
import {
    type CostClass,
    costClasses,
    CostEnvironment,
    drawRating,
    isRatingUnavailable,
    requestIntervalMilliseconds,
    runMilliseconds,
} from "./costEnvironment.js";
import { type ChosenStep, CostExcess } from "./costExcess.js";
import { Oracle } from "./oracle.js";

const entryCount = 4;
const gossipMilliseconds = 5000;
/** Share of final answers that are rated afterwards. */
const sampledShare = 0.3;
/** Share of answers that are rated in time for the decision on escalation. */
const ratedShare = 0.95;
const meanRatingDelayMilliseconds = 20_000;
const confidence = 0.95;
/** Number of periods of a run that are reported separately, to distinguish the learning phase from the rest. */
export const periodCount = 6;
/** Time until an entry detects that the rating service is unavailable or available again. */
const detectionMilliseconds = 2000;

/** Strategies that are compared. */
export const costStrategies = ["rattanlock", "oracle", "always-best", "always-cheapest", "fixed cascade"] as const;

/** One of the strategies. */
export type CostStrategy = typeof costStrategies[number];

/** Totals of one strategy in one request class. */
export interface ClassResult {
    requests: number;
    cost: number;
    qualitySum: number;
    squareSum: number;
}

interface Entry {
    readonly evidence: Evidence;
    readonly chooser: ModelChooser;
}

interface DelayedRating {
    readonly entry: Entry;
    readonly version: string;
    readonly requestClass: string;
    readonly score: number;
    readonly answeredAt: number;
    readonly first?: { readonly version: string; readonly score: number; };
}

/** Runs all strategies on the same random draws. */
export class CostRun {
    readonly #environment: CostEnvironment;
    readonly #oracle: Oracle;
    readonly #random: RandomSource;
    readonly #clock = new ManualClock(1_800_000_000_000);
    readonly #entries: readonly Entry[];
    readonly #publishedSequences: number[] = new Array<number>(entryCount).fill(0);
    readonly #delayedRatings = new Map<number, DelayedRating[]>();
    readonly results = new Map<CostStrategy, ClassResult[]>();
    /** The results by period, over all classes. */
    readonly periods = new Map<CostStrategy, ClassResult[]>();
    /** The results of `rattanlock` by period and class, since the target must be met early and late in a run. */
    readonly periodClasses: readonly ClassResult[][] = Array.from(
        { length: periodCount },
        () => costClasses.map(createResult),
    );
    /** Cost of `rattanlock` beyond the oracle's, by cause. */
    readonly excess = new CostExcess();
    exploringCount = 0;
    cascadeCount = 0;

    constructor(seed: number) {
        this.#environment = new CostEnvironment(seed);
        this.#oracle = new Oracle(this.#environment, ratedShare);
        this.#random = new RandomSource(seed * 7919 + 13);
        this.#entries = Array.from({ length: entryCount }, (...[, index]) => {
            const evidence = new Evidence({ clock: this.#clock });
            const random = new RandomSource(seed * 101 + index);
            return { evidence, chooser: new ModelChooser({ evidence, random, clock: this.#clock, ratedShare }) };
        });
        for (const strategy of costStrategies) {
            this.periods.set(strategy, Array.from({ length: periodCount }, createResult));
            this.results.set(strategy, costClasses.map(createResult));
        }
    }

    /** Runs all requests. */
    run(): void {
        let nextGossip = gossipMilliseconds;
        for (let time = 0; time < runMilliseconds; time += requestIntervalMilliseconds) {
            this.#clock.advance(requestIntervalMilliseconds);
            this.#deliverRatings(time);
            if (time >= nextGossip) {
                nextGossip += gossipMilliseconds;
                this.#gossip();
            }
            this.#handleRequest(time);
        }
    }

    #handleRequest(time: number): void {
        const classIndex = this.#drawClass(time);
        const answers = this.#environment.drawAnswers(classIndex, time, this.#random);
        const ratings = answers.map(quality => drawRating(quality, this.#random));
        const isRatedInTime = !isRatingUnavailable(time) && this.#random.next() < ratedShare;
        const size = 0.5 + this.#random.next();
        const last = answers.length - 1;
        const oracle = this.#oracle.getPlan(classIndex, time);
        const createSingleStep = (version: number): readonly ChosenStep[] => [{ version, acceptScore: undefined }];
        const createCascade = (first: number, second: number, acceptScore: number): readonly ChosenStep[] => [
            { version: first, acceptScore },
            { version: second, acceptScore: undefined },
        ];
        const plan = this.#choose(classIndex, time, size);
        const steps: Readonly<Record<CostStrategy, readonly ChosenStep[]>> = {
            "rattanlock": toSteps(plan, this.#environment.getVersions(time).map(({ id }) => id)),
            "oracle": oracle.acceptScore === 0
                ? createSingleStep(oracle.first)
                : createCascade(oracle.first, oracle.second, oracle.acceptScore),
            "always-best": createSingleStep(last),
            "always-cheapest": createSingleStep(0),
            "fixed cascade": createCascade(0, last, 0.7),
        };
        const costs = new Map<CostStrategy, number>();
        for (const strategy of costStrategies) {
            costs.set(
                strategy,
                this.#answer({
                    strategy,
                    classIndex,
                    time,
                    size,
                    steps: steps[strategy],
                    answers,
                    ratings,
                    isRatedInTime,
                }),
            );
        }
        const excess = costs.get("rattanlock")! - costs.get("oracle")!;
        this.excess.add({ classIndex, time, plan, steps: steps.rattanlock, oracleSteps: steps.oracle, excess });
    }

    #choose(classIndex: number, time: number, size: number): Plan {
        const entry = this.#entries[this.#random.nextInteger(entryCount)];
        this.#chosenEntry = entry;
        const plan = entry.chooser.choose(this.#createRequest(costClasses[classIndex], time, size));
        this.#isExploring = plan.isExploring;
        this.exploringCount += plan.isExploring ? 1 : 0;
        this.cascadeCount += plan.steps.length > 1 ? 1 : 0;
        return plan;
    }

    /** The entry that chose the plan of the current request. Its evidence receives the answers and ratings. */
    #chosenEntry: Entry | undefined;
    /** Whether the plan was chosen for exploration. All its answers are then sent to the rating service. */
    #isExploring = false;

    #createRequest(requestClass: CostClass, time: number, size: number) {
        return {
            requestClass: requestClass.name,
            candidates: this.#environment.getVersions(time),
            targetQuality: requestClass.targetQuality,
            confidence,
            inputTokens: size * requestClass.inputTokens,
            outputTokens: size * requestClass.outputTokens,
            areRatingsAvailable: !isRatingUnavailable(time - detectionMilliseconds),
        };
    }

    #answer(input: {
        strategy: CostStrategy;
        classIndex: number;
        time: number;
        size: number;
        steps: readonly ChosenStep[];
        answers: readonly number[];
        ratings: readonly number[];
        isRatedInTime: boolean;
    }): number {
        const { strategy, classIndex, time, size, answers, ratings } = input;
        const { inputTokens, outputTokens } = costClasses[classIndex];
        const versions = this.#environment.getVersions(time);
        let cost = 0;
        let first: { version: string; score: number; } | undefined;
        for (const { version, acceptScore } of input.steps) {
            cost += getPrice(versions[version], size * inputTokens, size * outputTokens);
            const rated = acceptScore !== undefined && input.isRatedInTime;
            if (strategy === "rattanlock") {
                this.#recordAnswer(classIndex, time, versions[version].id, ratings[version], rated, first);
            }
            if (acceptScore === undefined || rated && ratings[version] >= acceptScore) {
                addResult(this.results.get(strategy)![classIndex], cost, answers[version]);
                const period = Math.floor(time / runMilliseconds * periodCount);
                addResult(this.periods.get(strategy)![period], cost, answers[version]);
                if (strategy === "rattanlock") {
                    addResult(this.periodClasses[period][classIndex], cost, answers[version]);
                }
                return cost;
            }
            first = rated ? { version: versions[version].id, score: ratings[version] } : undefined;
        }
        return cost;
    }

    #recordAnswer(
        classIndex: number,
        time: number,
        version: string,
        score: number,
        rated: boolean,
        first: DelayedRating["first"],
    ): void {
        const entry = this.#chosenEntry!;
        const requestClass = costClasses[classIndex].name;
        const answeredAt = this.#clock.wall();
        entry.evidence.addAnswer({ version, requestClass, failed: false, slow: false });
        if (rated) {
            entry.evidence.addRating({ version, requestClass, score });
        }
        else if (this.#random.next() < (this.#isExploring ? ratedShare : sampledShare)) {
            const second = Math.floor((time + this.#random.nextExponential(meanRatingDelayMilliseconds)) / 1000);
            const queue = this.#delayedRatings.get(second) ?? [];
            queue.push({ entry, version, requestClass, score, answeredAt, ...first === undefined ? {} : { first } });
            this.#delayedRatings.set(second, queue);
        }
    }

    #deliverRatings(time: number): void {
        const second = Math.floor(time / 1000) - 1;
        const queue = this.#delayedRatings.get(second);
        this.#delayedRatings.delete(second);
        if (queue === undefined || isRatingUnavailable(time)) {
            return;
        }
        for (const { entry, version, requestClass, score, answeredAt, first } of queue) {
            if (first === undefined) {
                entry.evidence.addRating({ version, requestClass, score, answeredAt });
            }
            else {
                const { version: firstVersion, score: firstScore } = first;
                entry.evidence.addEscalation({
                    first: firstVersion,
                    second: version,
                    requestClass,
                    firstScore,
                    secondScore: score,
                });
            }
        }
    }

    #gossip(): void {
        for (const [origin, { evidence }] of this.#entries.entries()) {
            const counts = evidence.exportOwn(this.#publishedSequences[origin]);
            this.#publishedSequences[origin] = counts.sequence;
            for (const [other, { evidence: target }] of this.#entries.entries()) {
                if (other !== origin) {
                    target.merge(`entry-${origin}`, counts);
                }
            }
        }
    }

    #drawClass(time: number): number {
        const present = costClasses.filter(({ firstSeenAt }) => time >= firstSeenAt);
        let total = 0;
        for (const { weight } of present) {
            total += weight;
        }
        let point = this.#random.next() * total;
        for (const [index, { weight }] of present.entries()) {
            point -= weight;
            if (point < 0) {
                return index;
            }
        }
        return 0;
    }
}

function createResult(): ClassResult {
    return { requests: 0, cost: 0, qualitySum: 0, squareSum: 0 };
}

function addResult(result: ClassResult, cost: number, quality: number): void {
    result.requests += 1;
    result.cost += cost;
    result.qualitySum += quality;
    result.squareSum += quality ** 2;
}

function toSteps(plan: Plan, ids: readonly string[]): readonly ChosenStep[] {
    return plan.steps.map(({ version, acceptScore }) => ({ version: ids.indexOf(version.id), acceptScore }));
}
