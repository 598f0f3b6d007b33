/**
 * Measures the times to the heads of answers, and derives from them when an attempt is given up.
 */
import type { Clock } from "../common/index.js";
import {
    getHeadRatio,
    getPlainHeadTimeout,
    getPromptHeadTimeout,
    type PoolPressure,
    RecentQuantiles,
    type WindowedRetryBudget,
} from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import { isRepeatable } from "../routing/index.js";
import { type Exchange, getRankedRequest } from "./exchange.js";
import { HeadWatch } from "./headWatch.js";
import type { ForwardingMetrics } from "./metrics.js";

/** Options of `HeadTimes`. */
export interface HeadTimesOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
    readonly pressure: PoolPressure;
}

/** Keeps the times to the heads of answers of all pools. */
export class HeadTimes {
    readonly #options: HeadTimesOptions;
    /** Answer times of plain requests, by pool. */
    readonly #plainTimes: RecentQuantiles;
    /** Ratios of measured to expected times of prompts, by pool and model. */
    readonly #promptRatios: RecentQuantiles;

    constructor(options: HeadTimesOptions) {
        this.#options = options;
        this.#plainTimes = new RecentQuantiles(options.clock);
        this.#promptRatios = new RecentQuantiles(options.clock);
    }

    /**
     * Starts to watch the attempts of a request.
     * @param exchange - The request.
     * @param budget - The retry budget of its pool.
     */
    watch(exchange: Exchange, budget: WindowedRetryBudget): HeadWatch {
        const { clock, journal, metrics } = this.#options;
        const { pool, request, route } = exchange;
        return new HeadWatch({
            clock,
            getTimeout: (expected, model) => {
                if (!isRepeatable(route) || exchange.attempts >= route.maxAttempts) {
                    return undefined;
                }
                return route.kind === "stream"
                    ? this.#getPromptTimeout(exchange, expected, model)
                    : this.#getPlainTimeout(exchange, expected, budget);
            },
            onHead: ({ milliseconds, expectedMilliseconds, model }) => {
                if (route.kind === "stream") {
                    const ratio = getHeadRatio(milliseconds, expectedMilliseconds);
                    this.#promptRatios.add(getModelKey(pool, model), ratio);
                }
                else {
                    this.#plainTimes.add(pool, milliseconds);
                }
            },
            onSecondTry: afterMilliseconds => {
                metrics.secondTries.inc({ pool });
                journal.write(events.secondTryMade, {
                    request: request.id,
                    pool,
                    attempt: exchange.attempts,
                    afterMs: Math.round(afterMilliseconds),
                });
            },
        });
    }

    #getPlainTimeout(
        exchange: Exchange,
        expectedMilliseconds: number,
        budget: WindowedRetryBudget,
    ): number | undefined {
        return getPlainHeadTimeout({
            expectedMilliseconds,
            highMilliseconds: this.#plainTimes.getHigh(exchange.pool),
            objectiveMillisecondsLeft: exchange.route.objectiveMilliseconds - exchange.getElapsed(),
            millisecondsLeft: exchange.getTimeLeft(),
            isFull: this.#options.pressure.isFull(getRankedRequest(exchange)),
            retryShareLeft: budget.getRemaining() / budget.getAllowed(),
        });
    }

    #getPromptTimeout(
        exchange: Exchange,
        expectedMilliseconds: number,
        model: string | undefined,
    ): number | undefined {
        return getPromptHeadTimeout({
            expectedMilliseconds,
            objectiveMilliseconds: exchange.route.objectiveMilliseconds,
            highRatio: this.#promptRatios.getHigh(getModelKey(exchange.pool, model)),
            millisecondsLeft: exchange.getTimeLeft(),
            waitMilliseconds: this.#options.pressure.getWaitMilliseconds(getRankedRequest(exchange)),
        });
    }
}

/**
 * Returns whether a request has an attempt left and a whole retry for it, beside those that are left to more urgent requests.
 * @param exchange - The request.
 * @param budget - The retry budget of its pool.
 * @param pressure - The pressure on its pool.
 */
export function hasRetryLeft(exchange: Exchange, budget: WindowedRetryBudget, pressure: PoolPressure): boolean {
    const reserve = pressure.getRetryReserve(getRankedRequest(exchange), budget.getAllowed());
    return exchange.attempts < exchange.route.maxAttempts && budget.getRemaining() - reserve >= 1;
}

function getModelKey(pool: string, model: string | undefined): string {
    return `${pool} ${model ?? ""}`;
}
