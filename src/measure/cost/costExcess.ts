/**
 * Attributes the product's cost beyond the oracle's to causes: each request's excess is counted under the first cause
 * that applies to it.
 */
import type { Plan } from "../../decisions/model/index.js";
import { costClasses, degradedAt, degradingClass, outage, priceChangeAt } from "./costEnvironment.js";

/** How long after an event excess cost is attributed to it. */
const reactionMilliseconds = 180_000;
const startUpMilliseconds = 300_000;

/** Causes, in the order in which they are checked. */
export const excessCauses = [
    "start-up (first five minutes)",
    "class first seen (first five minutes)",
    "ratings away, and three minutes after",
    "price change (three minutes)",
    "version turned bad (three minutes)",
    "tries",
    "no version known to meet the target",
    "single version where a cascade would do",
    "cascade where a single version would do",
    "cascade of other versions, or another single version",
    "same versions, other threshold",
    "chance (same plan)",
] as const;

/** One of the causes. */
export type ExcessCause = typeof excessCauses[number];

/** One step of a plan, with the index of its version. */
export interface ChosenStep {
    readonly version: number;
    readonly acceptScore: number | undefined;
}

/** The data of a request from which the cause of its excess is determined. */
export interface ExcessInput {
    readonly classIndex: number;
    readonly time: number;
    readonly plan: Plan;
    readonly steps: readonly ChosenStep[];
    readonly oracleSteps: readonly ChosenStep[];
    /** Cost beyond the oracle's; negative if the request was cheaper. */
    readonly excess: number;
}

/** Sums excess cost by cause. */
export class CostExcess {
    readonly #excessByCause = new Map<ExcessCause, number>();

    /** Adds a request's excess to its cause. */
    add(input: ExcessInput): void {
        const cause = getCause(input);
        this.#excessByCause.set(cause, this.get(cause) + input.excess);
    }

    /** Returns the excess cost of a cause. */
    get(cause: ExcessCause): number {
        return this.#excessByCause.get(cause) ?? 0;
    }
}

function getCause(input: ExcessInput): ExcessCause {
    return getEventCause(input) ?? getPlanCause(input);
}

function getEventCause({ classIndex, time }: ExcessInput): ExcessCause | undefined {
    const { name, firstSeenAt } = costClasses[classIndex];
    if (time < startUpMilliseconds) {
        return "start-up (first five minutes)";
    }
    if (firstSeenAt > 0 && time < firstSeenAt + startUpMilliseconds) {
        return "class first seen (first five minutes)";
    }
    if (time >= outage.from && time < outage.until + reactionMilliseconds) {
        return "ratings away, and three minutes after";
    }
    if (time >= priceChangeAt && time < priceChangeAt + reactionMilliseconds) {
        return "price change (three minutes)";
    }
    if (name === degradingClass && time >= degradedAt && time < degradedAt + reactionMilliseconds) {
        return "version turned bad (three minutes)";
    }
    return undefined;
}

function getPlanCause({ plan, steps, oracleSteps }: ExcessInput): ExcessCause {
    if (plan.isExploring) {
        return "tries";
    }
    if (plan.reason.startsWith("surest")) {
        return "no version known to meet the target";
    }
    if (steps.length !== oracleSteps.length) {
        return steps.length < oracleSteps.length
            ? "single version where a cascade would do"
            : "cascade where a single version would do";
    }
    if (steps.some(({ version }, index) => version !== oracleSteps[index].version)) {
        return "cascade of other versions, or another single version";
    }
    return steps[0].acceptScore === oracleSteps[0].acceptScore
        ? "chance (same plan)"
        : "same versions, other threshold";
}
