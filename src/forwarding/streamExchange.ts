/**
 * Forwards requests that are answered by a stream of events.
 */
import type { PoolPressure, WindowedRetryBudget } from "../decisions/index.js";
import type { Journal } from "../events/index.js";
import type { AnswerBuffers } from "./answerBuffers.js";
import { type AnswerEnd, crashedAtEndReason, getAnswerForm, getIncompleteEnd, unconfirmedReason } from "./answerEnd.js";
import type { Attempt, AttemptFailure, AttemptRequest } from "./attempt.js";
import { AttemptRace } from "./attemptRace.js";
import type { Attempts } from "./attempts.js";
import { type Exchange, getRankedRequest } from "./exchange.js";
import { FailedAnswer } from "./failedAnswer.js";
import { hasRetryLeft, type HeadTimes } from "./headTimes.js";
import type { HeadWatch } from "./headWatch.js";
import type { ForwardingMetrics } from "./metrics.js";
import { ModelCascade } from "./modelCascade.js";
import { createAnswerRefusal } from "./refusals.js";
import { ReplyEnding } from "./replyEnding.js";
import { SilentAnswer } from "./silentAnswer.js";
import { StreamAnswer } from "./streamAnswer.js";
import { StreamRelay } from "./streamRelay.js";
import { isCertainlyNotRun, minServerErrorStatus } from "./upstreamCall.js";

/** Options of `StreamExchange`. */
export interface StreamExchangeOptions {
    readonly exchange: Exchange;
    /** Sends the attempts to upstreams. */
    readonly attempts: Attempts;
    /** The retry budget of the pool. */
    readonly budget: WindowedRetryBudget;
    readonly pressure: PoolPressure;
    readonly headTimes: HeadTimes;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
    /** Bounds the events that are read. */
    readonly answerBuffers: AnswerBuffers;
}

/** Handles the stream of one exchange. */
export class StreamExchange {
    readonly #exchange: Exchange;
    readonly #attempts: Attempts;
    readonly #race: AttemptRace;
    readonly #budget: WindowedRetryBudget;
    readonly #pressure: PoolPressure;
    readonly #cascade: ModelCascade;
    readonly #watch: HeadWatch;
    /** Answer that goes on unless the attempt that is to replace it begins before. */
    #silent: SilentAnswer | undefined;
    readonly #failed = new FailedAnswer();
    readonly #ending: ReplyEnding;
    readonly #relay: StreamRelay;

    constructor(options: StreamExchangeOptions) {
        const { exchange, attempts, budget, pressure, headTimes, journal, metrics, answerBuffers } = options;
        this.#exchange = exchange;
        this.#attempts = attempts;
        this.#race = new AttemptRace(exchange, attempts);
        this.#budget = budget;
        this.#pressure = pressure;
        this.#cascade = new ModelCascade({ exchange, attempts, budget, pressure, journal, metrics });
        this.#watch = headTimes.watch(exchange, budget);
        this.#ending = new ReplyEnding(exchange, () => this.#canRepeat());
        this.#relay = new StreamRelay({
            exchange,
            answerBuffers,
            journal,
            reserveBeside: () => attempts.reserveBeside(this.#createAttemptRequest()),
        });
    }

    /** Answers the request with the cheapest sufficient model, and retries at other runners after failures. */
    async run(): Promise<void> {
        try {
            await this.#answer();
        }
        finally {
            this.#failed.drop();
            this.#race.close();
        }
    }

    async #answer(): Promise<void> {
        for (;;) {
            const attempt = await this.#race.make({
                ...this.#createAttemptRequest(),
                only: this.#ending.takeAskedAgain(),
            });
            const answered = attempt.isOk() ? this.#accept(attempt.value) : this.#takeBack(attempt.error);
            if (answered !== undefined) {
                if (await this.#relayAnswer(answered)) {
                    return;
                }
                continue;
            }
            if (attempt.isErr() && !this.#canRetry(attempt.error) && !this.#ending.askAgain()) {
                await this.#finishWithoutAnswer(attempt.error);
                return;
            }
        }
    }

    async #finishWithoutAnswer(error: AttemptFailure): Promise<void> {
        const failed = this.#exchange.reply.hasStarted || this.#exchange.ended.aborted
            ? undefined
            : this.#failed.take();
        if (failed === undefined) {
            this.#fail(error);
            return;
        }
        await this.#deliver(failed);
    }

    #createAttemptRequest(): AttemptRequest {
        const { model } = this.#cascade;
        return {
            exchange: this.#exchange,
            model,
            lastEventId: this.#relay.lastEventId,
            prompt: this.#cascade.describePrompt(model),
            watchHead: expected => this.#watch.start(expected, model),
            onSent: () => this.#cascade.markSent(),
            withdrawal: this.#silent?.goesOn,
            mayBeKept: () => !this.#cascade.isHolding,
            getRetryReserve: allowed => this.#pressure.getRetryReserve(getRankedRequest(this.#exchange), allowed),
            mayWait: () => this.#cascade.mayWait(),
        };
    }

    /** Returns the answer that the caller gets, or undefined when a larger model is asked. */
    #accept(attempt: Attempt): StreamAnswer | undefined {
        this.#cascade.discardHeld();
        this.#failed.drop();
        this.#exchange.markRun("ran");
        const previous = this.#takeSilentBack(attempt);
        if (previous !== undefined) {
            return previous;
        }
        return this.#cascade.escalate(attempt) ? undefined : this.#createAnswer(attempt);
    }

    /** Returns the silent answer if the attempt that was to replace it does not continue it; otherwise ends that answer. */
    #takeSilentBack(attempt: Attempt): StreamAnswer | undefined {
        const silent = this.#silent;
        if (silent === undefined) {
            return undefined;
        }
        if (getAnswerForm(this.#exchange.route, attempt.answer) !== "events") {
            this.#rejectContinuation(attempt);
            return this.#takeSilent();
        }
        if (silent.goesOn.aborted) {
            attempt.drop("the silent upstream goes on");
            attempt.cancel();
            return this.#takeSilent();
        }
        this.#silent = undefined;
        silent.replace();
        return undefined;
    }

    #takeSilent(): StreamAnswer | undefined {
        const silent = this.#silent;
        this.#silent = undefined;
        if (silent !== undefined) {
            this.#exchange.takeReservation();
        }
        return silent?.take();
    }

    /** Returns the answer that was kept for the case that another attempt fails. */
    #takeBack(error: AttemptFailure): StreamAnswer | undefined {
        if (this.#silent?.goesOn.aborted === false && this.#exchange.reservation !== undefined) {
            // The other runner was given up as well, for one that is asked next.
            return undefined;
        }
        const silent = this.#takeSilent();
        if (silent !== undefined) {
            return silent;
        }
        const attempt = this.#cascade.takeBack(error);
        return attempt && this.#createAnswer(attempt);
    }

    #createAnswer(attempt: Attempt): StreamAnswer {
        return new StreamAnswer(attempt, getAnswerForm(this.#exchange.route, attempt.answer));
    }

    /** Ends an attempt that answers in the middle of a stream with something else. */
    #rejectContinuation(attempt: Attempt): string {
        const { status, mediaType = "no type" } = attempt.answer;
        const reason = `status ${status}, ${mediaType}, in the middle of a stream`;
        attempt.finish("error", reason, "complete");
        attempt.cancel();
        return reason;
    }

    /**
     * Relays an answer event by event.
     * @returns Whether the exchange has ended.
     */
    async #relayAnswer(relayed: StreamAnswer): Promise<boolean> {
        const { attempt } = relayed;
        const { answer } = attempt;
        const mayRetry = answer.status >= minServerErrorStatus && this.#exchange.route.isResumable;
        if (mayRetry && this.#race.isOpen) {
            this.#failed.keep(relayed);
            return false;
        }
        if (mayRetry && (await this.#reserveNext() || this.#exchange.ended.aborted)) {
            attempt.finish("error", `status ${answer.status}`, "complete");
            attempt.cancel();
            return false;
        }
        return this.#deliver(relayed);
    }

    /** Does the same for an answer that is not given up for another attempt before it has begun. */
    async #deliver(relayed: StreamAnswer): Promise<boolean> {
        const { attempt } = relayed;
        const { answer } = attempt;
        const { reply } = this.#exchange;
        if (reply.hasStarted && relayed.form !== "events") {
            this.#ending.breakOff(this.#rejectContinuation(attempt));
            return true;
        }
        if (!reply.hasStarted) {
            const incompleteEnd = getIncompleteEnd(relayed.form);
            reply.start(answer.status, answer.headers, { hasStatedEnd: answer.hasKnownEnd, incompleteEnd });
        }
        const result = await this.#relay.relay(relayed);
        if (result.kind === "silent") {
            this.#silent = this.#keep(relayed, result.reason);
            return false;
        }
        this.#relay.endSilence(relayed, "ended");
        const hasEvents = relayed.splitter.hasEvents;
        if (result.kind === "ended") {
            const isConfirmed = await this.#recordEnd(attempt, result.end);
            const mayResume = this.#mayResume(relayed);
            return this.#ending.end(attempt.upstream, { end: result.end, hasEvents, isConfirmed, mayResume });
        }
        this.#ending.markBroken(hasEvents);
        const end = result.isDisconnected ? "disconnected" : "stopped";
        attempt.finish(this.#exchange.ended.aborted ? "cancelled" : "failed", result.reason, end);
        attempt.cancel();
        if (!this.#exchange.ended.aborted && this.#mayResume(relayed) && this.#canRepeat()) {
            return false;
        }
        this.#ending.breakOff(result.reason);
        return true;
    }

    /**
     * Records the end of an attempt whose runner has ended its answer in order.
     * @param attempt - The attempt.
     * @param end - What the runner has said of that end.
     * @returns Whether the runner has ended its answer itself: it has said so, or has outlived that end.
     */
    async #recordEnd(attempt: Attempt, end: AnswerEnd): Promise<boolean> {
        const { status, hasKnownEnd } = attempt.answer;
        const isConfirmed = end === "whole" || await attempt.confirmEnd();
        if (!isConfirmed && await attempt.hasUpstreamCrashed()) {
            attempt.finish("failed", crashedAtEndReason, "disconnected");
            return false;
        }
        const outcome = status >= minServerErrorStatus ? "error" : "ok";
        // One that has left as planned may have ended its answer in order, so an end that is not confirmed is no failure of it.
        const reason = isConfirmed ? `status ${status}` : `status ${status}, ${unconfirmedReason}`;
        attempt.finish(outcome, reason, hasKnownEnd || isConfirmed ? "complete" : "disconnected");
        return isConfirmed;
    }

    /** Returns whether another runner may go on with an answer. */
    #mayResume({ form }: StreamAnswer): boolean {
        return this.#exchange.route.isResumable && form === "events";
    }

    #canRepeat(): boolean {
        return this.#exchange.reservation !== undefined
            || hasRetryLeft(this.#exchange, this.#budget, this.#pressure);
    }

    #keep(answer: StreamAnswer, reason: string): SilentAnswer {
        return new SilentAnswer({
            answer,
            reason,
            ended: this.#exchange.ended,
            onReplace: () => this.#relay.endSilence(answer, "replaced"),
        });
    }

    /** Returns whether a further attempt is certain. Its upstream is then reserved. */
    #reserveNext(): Promise<boolean> {
        return this.#attempts.reserve(this.#createAttemptRequest(), this.#exchange.ended);
    }

    #canRetry(error: AttemptFailure): boolean {
        if (error.kind === "not-made") {
            return false;
        }
        if (!isCertainlyNotRun(error.failure)) {
            this.#exchange.markRun("unknown");
            return this.#exchange.route.isResumable;
        }
        return true;
    }

    #fail(error: AttemptFailure): void {
        const { reply } = this.#exchange;
        if (reply.hasStarted) {
            this.#ending.breakOff(error.kind === "not-made" ? `not resumed: ${error.reason}` : error.failure.reason);
            return;
        }
        reply.refuse(createAnswerRefusal(this.#exchange, error, this.#pressure, {
            message: "No runner sent a complete answer, and the request may have run.",
            remedy: "Retry the request if it is safe to repeat.",
        }));
    }
}
