/**
 * The oracle of the cost measurement: it computes the true quality of every plan and chooses the cheapest that meets
 * the target.
 */
import { RandomSource } from "../../common/index.js";
import { getPrice, type ModelVersion } from "../../world/index.js";
import { costClasses, type CostEnvironment, drawRating, isRatingUnavailable } from "./costEnvironment.js";

const drawCount = 6000;
const thresholds = Array.from({ length: 23 }, (...[, index]) => 0.4 + 0.025 * index);

/** A plan, with versions given by index. `acceptScore` is 0 for a plan with a single version. */
export interface OraclePlan {
    readonly first: number;
    readonly second: number;
    readonly acceptScore: number;
}

/** Finds the cheapest plan whose true quality meets the target. */
export class Oracle {
    readonly #environment: CostEnvironment;
    readonly #ratedShare: number;
    readonly #plans = new Map<string, OraclePlan>();

    /** @param ratedShare - Share of answers that are rated in time for a cascade. */
    constructor(environment: CostEnvironment, ratedShare: number) {
        this.#environment = environment;
        this.#ratedShare = ratedShare;
    }

    /** Returns the best plan for a class at a time. */
    getPlan(classIndex: number, time: number): OraclePlan {
        const key = `${classIndex}/${this.#environment.getPhase(time)}`;
        let plan = this.#plans.get(key);
        if (plan === undefined) {
            plan = this.#findPlan(classIndex, time);
            this.#plans.set(key, plan);
        }
        return plan;
    }

    #findPlan(classIndex: number, time: number): OraclePlan {
        const { inputTokens, outputTokens, targetQuality } = costClasses[classIndex];
        const versions = this.#environment.getVersions(time);
        const prices = versions.map((version: ModelVersion) => getPrice(version, inputTokens, outputTokens));
        const random = new RandomSource(977 + classIndex);
        const answers: (readonly number[])[] = [];
        for (let draw = 0; draw < drawCount; draw += 1) {
            answers.push(this.#environment.drawAnswers(classIndex, time, random));
        }
        const means = versions.map((...[, index]) => getMean(answers, index));
        let best: OraclePlan = { first: means.indexOf(Math.max(...means)), second: 0, acceptScore: 0 };
        let minCost = Infinity;
        for (const [index, mean] of means.entries()) {
            if (mean >= targetQuality && prices[index] < minCost) {
                minCost = prices[index];
                best = { first: index, second: index, acceptScore: 0 };
            }
        }
        if (isRatingUnavailable(time)) {
            return best;
        }
        for (const [first] of versions.entries()) {
            const ratings = answers.map(draw => drawRating(draw[first], random));
            for (const [second] of versions.entries()) {
                if (prices[second] <= prices[first]) {
                    continue;
                }
                for (const acceptScore of thresholds) {
                    const { quality, escalated } = this.#evaluatePlan({ first, second, acceptScore }, answers, ratings);
                    const cost = prices[first] + escalated * prices[second];
                    if (quality >= targetQuality && cost < minCost) {
                        minCost = cost;
                        best = { first, second, acceptScore };
                    }
                }
            }
        }
        return best;
    }

    #evaluatePlan(plan: OraclePlan, answers: readonly (readonly number[])[], ratings: readonly number[]) {
        let sum = 0;
        let escalated = 0;
        for (const [index, draw] of answers.entries()) {
            const accepted = ratings[index] >= plan.acceptScore ? this.#ratedShare : 0;
            sum += accepted * draw[plan.first] + (1 - accepted) * draw[plan.second];
            escalated += 1 - accepted;
        }
        return { quality: sum / answers.length, escalated: escalated / answers.length };
    }
}

function getMean(answers: readonly (readonly number[])[], version: number): number {
    let sum = 0;
    for (const draw of answers) {
        sum += draw[version];
    }
    return sum / answers.length;
}
