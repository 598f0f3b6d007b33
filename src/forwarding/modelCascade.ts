/**
 * Carries out the model cascade of one request: which model is asked first, and whether its answer is escalated.
 */
import {
    chooseFirstModel,
    type EscalationObstacle,
    judgeAnswer,
    type PoolPressure,
    type PoorAnswerReason,
    type PromptDescription,
    type RankedRequest,
    type WindowedRetryBudget,
} from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { Attempt, AttemptFailure } from "./attempt.js";
import type { Attempts } from "./attempts.js";
import { type Exchange, getRankedRequest } from "./exchange.js";
import { HeldAnswer } from "./heldAnswer.js";
import type { ForwardingMetrics } from "./metrics.js";
import { isCertainlyNotRun } from "./upstreamCall.js";

/**
 * Time for which an answer is kept after the request for the better one was sent, which an upstream may reject whether or not its pool
 * seemed to have room. It does so at once. Both upstreams may work on a request for 400 ms.
 */
const keptMilliseconds = 100;

/** Options of `ModelCascade`. */
export interface ModelCascadeOptions {
    readonly exchange: Exchange;
    readonly attempts: Pick<Attempts, "estimate">;
    /** The retry budget of the pool. */
    readonly budget: WindowedRetryBudget;
    readonly pressure: PoolPressure;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
}

/** The cascade of one request. */
export class ModelCascade {
    readonly #options: ModelCascadeOptions;
    readonly #ranked: RankedRequest;
    #model: string | undefined;
    #previousModel: string | undefined;
    #held: HeldAnswer | undefined;

    constructor(options: ModelCascadeOptions) {
        this.#options = options;
        this.#ranked = getRankedRequest(options.exchange);
        this.#model = this.#chooseFirstModel();
    }

    /** The model that is to answer; undefined when the caller chose it. */
    get model(): string | undefined {
        return this.#model;
    }

    /** Whether an answer is kept, which is delivered if the attempt at a better one fails. */
    get isHolding(): boolean {
        return this.#held?.isHeld === true;
    }

    /**
     * Decides whether an answer is escalated. If so, it is kept until the next attempt is certain.
     * @param attempt - The attempt whose answer has started.
     */
    escalate(attempt: Attempt): boolean {
        const { exchange, pressure } = this.#options;
        const { answer } = attempt;
        if (this.#model === undefined || exchange.reply.hasStarted || answer.status !== 200) {
            return false;
        }
        const judgement = judgeAnswer({
            models: exchange.route.models,
            model: this.#model,
            confidence: answer.confidence,
            getObstacle: () => this.#getObstacle(),
            mustYield: () => pressure.mustYield(this.#ranked),
            isInTime: () => this.#isInTime(exchange.route.models.at(-1)),
        });
        if (judgement.kind === "poor") {
            this.#logAccepted(attempt, judgement.reason);
        }
        if (judgement.kind !== "escalated") {
            return false;
        }
        this.#held = new HeldAnswer({
            attempt,
            keptMilliseconds,
            onDiscard: () => attempt.drop(`confidence ${answer.confidence}`),
        });
        this.#previousModel = this.#model;
        this.#model = judgement.model;
        // The same runner may answer with the larger model: its prefill of the prompt was for the smaller model only.
        exchange.excluded.clear();
        return true;
    }

    /** Returns whether an attempt may wait for room: no answer is kept, or the better one is expected in time all the same. */
    mayWait(): boolean {
        return this.#held === undefined
            || this.#options.pressure.getWaitMilliseconds(this.#ranked) === 0
            || this.#isInTime(this.#model);
    }

    /** Records that an attempt is written to a connection. */
    markSent(): void {
        this.#held?.markOtherSent();
    }

    /** Discards the kept answer, if there is one: a better one has started. */
    discardHeld(): void {
        this.#held?.discard();
        this.#held = undefined;
    }

    /**
     * Takes back the kept answer after the attempt at a better one has failed. It stays kept if a better one can still be asked for.
     * @param error - Why that attempt failed or was not made.
     */
    takeBack(error: AttemptFailure): Attempt | undefined {
        const { exchange, journal, metrics } = this.#options;
        if (exchange.ended.aborted) {
            this.discardHeld();
            return undefined;
        }
        if (this.#mayAskAgain(error)) {
            this.#held?.markOtherNotRun();
            return undefined;
        }
        const attempt = this.#held?.take();
        this.#held = undefined;
        if (attempt === undefined) {
            return undefined;
        }
        this.#model = this.#previousModel;
        exchange.excluded.add(attempt.upstream.id);
        metrics.poorAnswers.inc({ pool: exchange.pool, reason: "failed" });
        journal.write(events.escalationFailed, {
            request: exchange.request.id,
            model: this.#model,
            confidence: attempt.answer.confidence,
            reason: error.kind === "not-made" ? error.reason : error.failure.reason,
        });
        return attempt;
    }

    /**
     * Describes the prompt for the choice of an upstream. Its last part belongs to the request only; the parts before it may be
     * shared with other requests.
     * @param chosenModel - The model; undefined for the one that the caller chose.
     */
    describePrompt(chosenModel: string | undefined): PromptDescription {
        const { generation, body } = this.#options.exchange.request;
        const sharedParts = generation?.parts.slice(0, -1) ?? [];
        let sharedTokens = 0;
        for (const part of sharedParts) {
            sharedTokens += part.tokens;
        }
        const model = chosenModel ?? generation?.model;
        const tokens = generation?.promptTokens ?? 0;
        const sharedKey = `${model ?? ""} ${sharedParts.at(-1)?.id ?? ""}`;
        return { model, tokens, bytes: body.length, sharedTokens, sharedKey };
    }

    #chooseFirstModel(): string | undefined {
        const { exchange, budget, pressure } = this.#options;
        const { request, route, attempts } = exchange;
        if (route.models.length === 0 || request.generation === undefined || request.generation.model !== undefined) {
            return undefined;
        }
        return chooseFirstModel({
            models: route.models,
            retriesLeft: budget.getRemaining(1),
            attemptsLeft: route.maxAttempts - attempts,
            isContinued: request.lastEventId !== undefined,
            mustYield: () => pressure.mustYield(this.#ranked),
            isInTime: model => this.#isInTime(model),
        });
    }

    #getObstacle(): EscalationObstacle | undefined {
        const { exchange, budget, pressure } = this.#options;
        if (exchange.attempts >= exchange.route.maxAttempts) {
            return "attempts";
        }
        if (exchange.mayOutlastNode()) {
            return "stopping";
        }
        if (budget.getRemaining() - pressure.getRetryReserve(this.#ranked, budget.getAllowed()) < 1) {
            return "budget";
        }
        const expected = this.#estimate(exchange.route.models.at(-1));
        if (expected === undefined) {
            return "nobody";
        }
        return expected > exchange.getTimeLeft() ? "deadline" : undefined;
    }

    /** Returns whether another upstream is asked for the better answer. While the pool is full, it would reject it as well. */
    #mayAskAgain(error: AttemptFailure): boolean {
        const { exchange, pressure } = this.#options;
        return this.#held !== undefined && error.kind === "failed" && isCertainlyNotRun(error.failure)
            && (exchange.reservation !== undefined
                || (!pressure.isFull(this.#ranked) && this.#getObstacle() === undefined));
    }

    /** Returns whether a model's answer is expected to start within the route's objective. */
    #isInTime(model: string | undefined): boolean {
        const { exchange } = this.#options;
        const expected = this.#estimate(model);
        return expected !== undefined && exchange.getElapsed() + expected <= exchange.route.objectiveMilliseconds;
    }

    /** Returns the expected time until a model's answer starts, in milliseconds; undefined if no upstream is available. */
    #estimate(model: string | undefined): number | undefined {
        const { exchange, attempts, pressure } = this.#options;
        const expected = attempts.estimate(exchange, this.describePrompt(model));
        return expected === undefined ? undefined : expected + pressure.getWaitMilliseconds(this.#ranked);
    }

    #logAccepted({ answer }: Attempt, reason: PoorAnswerReason): void {
        const { exchange, journal, metrics, pressure } = this.#options;
        metrics.poorAnswers.inc({ pool: exchange.pool, reason });
        journal.write(events.poorAnswerAccepted, {
            request: exchange.request.id,
            priority: exchange.priority,
            model: this.#model,
            confidence: answer.confidence,
            reason,
            waitMs: Math.round(pressure.getWaitMilliseconds(this.#ranked)),
        });
    }
}
