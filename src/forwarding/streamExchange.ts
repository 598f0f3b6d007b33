/**
 * Forwards requests that are answered by a stream of events.
 */
import type { Result } from "neverthrow";
import { Failure, ReadTimeout, type Refusal } from "../common/index.js";
import type { PoolPressure, WindowedRetryBudget } from "../decisions/index.js";
import type { Journal } from "../events/index.js";
import { isEndless } from "../upstream/index.js";
import { type AnswerBuffers, oversizedReason } from "./answerBuffers.js";
import type { Attempt, AttemptFailure } from "./attempt.js";
import type { Attempts } from "./attempts.js";
import { EventSplitter } from "./eventSplitter.js";
import { createTimeoutRefusal, type Exchange, getRankedRequest } from "./exchange.js";
import { hasRetryLeft, type HeadTimes } from "./headTimes.js";
import type { HeadWatch } from "./headWatch.js";
import type { ForwardingMetrics } from "./metrics.js";
import { ModelCascade } from "./modelCascade.js";
import { createNotRunRefusal } from "./refusals.js";
import { isCertainlyNotRun } from "./upstreamCall.js";

/** Statuses from here on are failures of the upstream. */
const minServerErrorStatus = 500;
/**
 * A resumable stream whose runner sends nothing for this factor times the pause objective is resumed at another runner. Callers
 * give up after eight times the objective.
 */
const pauseTimeoutFactor = 2;
/** A sound runner may send nothing for a second. Callers wait for two at least. */
const minPauseTimeoutMilliseconds = 1_300;
/** Pause objective of routes that configure none. */
const defaultPauseMilliseconds = 1_000;

/** Result of relaying an answer. */
type RelayResult =
    | { readonly kind: "complete"; }
    | { readonly kind: "broken"; readonly reason: string; readonly isDisconnected: boolean; };

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
    readonly #budget: WindowedRetryBudget;
    readonly #splitter = new EventSplitter();
    readonly #pressure: PoolPressure;
    readonly #cascade: ModelCascade;
    readonly #watch: HeadWatch;
    readonly #answerBuffers: AnswerBuffers;
    #lastEventId: string | undefined;

    constructor(options: StreamExchangeOptions) {
        const { exchange, attempts, budget, pressure, headTimes, journal, metrics } = options;
        this.#answerBuffers = options.answerBuffers;
        this.#exchange = exchange;
        this.#attempts = attempts;
        this.#budget = budget;
        this.#pressure = pressure;
        this.#cascade = new ModelCascade({ exchange, attempts, budget, pressure, journal, metrics });
        this.#watch = headTimes.watch(exchange, budget);
        this.#lastEventId = exchange.request.lastEventId;
    }

    /** Answers the request with the cheapest sufficient model, and retries at other runners after failures. */
    async run(): Promise<void> {
        for (;;) {
            const attempt = await this.#makeAttempt();
            const answered = attempt.isOk() ? this.#acceptOrEscalate(attempt.value) : this.#takeBack(attempt.error);
            if (answered !== undefined) {
                if (await this.#relay(answered)) {
                    return;
                }
                continue;
            }
            if (attempt.isErr() && !this.#canRetry(attempt.error)) {
                this.#fail(attempt.error);
                return;
            }
        }
    }

    #makeAttempt(): Promise<Result<Attempt, AttemptFailure>> {
        const { model } = this.#cascade;
        return this.#attempts.make({
            exchange: this.#exchange,
            model,
            lastEventId: this.#lastEventId,
            prompt: this.#cascade.describePrompt(model),
            getHeadTimeout: expected => {
                this.#cascade.markSent();
                return this.#watch.start(expected, model);
            },
            getRetryReserve: allowed => this.#pressure.getRetryReserve(getRankedRequest(this.#exchange), allowed),
            mayWait: () => this.#cascade.mayWait(),
        });
    }

    /** Returns an attempt whose answer the caller gets, or undefined when a larger model is asked. */
    #acceptOrEscalate(attempt: Attempt): Attempt | undefined {
        this.#watch.markHead(attempt.answer.status);
        this.#cascade.discardHeld();
        this.#exchange.markRun("ran");
        return this.#cascade.escalate(attempt) ? undefined : attempt;
    }

    /** Returns the answer that was kept for the case that a larger model does not answer. */
    #takeBack(error: AttemptFailure): Attempt | undefined {
        this.#watch.markFailed();
        return this.#cascade.takeBack(error.kind === "not-made" ? error.reason : error.failure.reason);
    }

    /**
     * Relays an answer event by event.
     * @returns Whether the exchange has ended.
     */
    async #relay(attempt: Attempt): Promise<boolean> {
        const { answer } = attempt;
        const { route, reply } = this.#exchange;
        if (answer.status >= minServerErrorStatus && route.isResumable && this.#canRepeat()) {
            attempt.finish("error", `status ${answer.status}`, "complete");
            attempt.cancel();
            return false;
        }
        if (reply.hasStarted && answer.status !== 200) {
            attempt.finish("error", `status ${answer.status} in the middle of a stream`, "complete");
            attempt.cancel();
            reply.abort(`status ${answer.status} in the middle of a stream`);
            return true;
        }
        if (!reply.hasStarted) {
            reply.start(answer.status, answer.headers, { hasKnownEnd: answer.hasKnownEnd || route.isResumable });
        }
        const relayed = await this.#relayBody(attempt);
        if (relayed.kind === "complete") {
            const outcome = answer.status >= minServerErrorStatus ? "error" : "ok";
            const isCertain = answer.hasKnownEnd || route.isResumable;
            attempt.finish(outcome, `status ${answer.status}`, isCertain ? "complete" : "stopped");
            reply.end();
            return true;
        }
        const end = relayed.isDisconnected ? "disconnected" : "stopped";
        attempt.finish(this.#exchange.ended.aborted ? "cancelled" : "failed", relayed.reason, end);
        attempt.cancel();
        this.#splitter.reset();
        if (!this.#exchange.ended.aborted && route.isResumable && answer.status === 200 && this.#canRepeat()) {
            return false;
        }
        reply.abort(relayed.reason);
        return true;
    }

    #canRepeat(): boolean {
        return hasRetryLeft(this.#exchange, this.#budget, this.#pressure);
    }

    async #relayBody(attempt: Attempt): Promise<RelayResult> {
        const { reply, route, ended } = this.#exchange;
        const isEventStream = attempt.answer.status === 200;
        const pauseTimeout = route.isResumable
            ? Math.max(
                minPauseTimeoutMilliseconds,
                (route.pauseObjectiveMilliseconds ?? defaultPauseMilliseconds) * pauseTimeoutFactor,
            )
            : this.#exchange.getTimeLeft();
        let isTimedOut = false;
        let isWaitingForCaller = false;
        const timeout = new ReadTimeout(pauseTimeout, () => {
            // While the node waits for a slow caller, nothing is known of the runner.
            if (!isWaitingForCaller) {
                isTimedOut = true;
                attempt.cancel();
            }
        });
        const buffer = this.#answerBuffers.add(attempt.upstream.id, attempt.cancel);
        try {
            for await (const bytes of attempt.answer.body) {
                attempt.markSeen();
                isWaitingForCaller = true;
                await (isEventStream ? this.#writeEvents(bytes) : reply.write(bytes));
                isWaitingForCaller = false;
                timeout.refresh();
                buffer.hold(this.#splitter.remainderLength);
                if (buffer.isGivenUp) {
                    return { kind: "broken", reason: oversizedReason, isDisconnected: false };
                }
                if (reply.disconnected.aborted) {
                    return { kind: "broken", reason: "the caller has left", isDisconnected: false };
                }
            }
            return attempt.answer.hasKnownEnd ? await this.#writeRemainder() : await this.#evaluateEnd(attempt);
        }
        catch (cause) {
            if (buffer.isGivenUp) {
                return { kind: "broken", reason: oversizedReason, isDisconnected: false };
            }
            const reason = isTimedOut ? `no data for ${pauseTimeout} ms` : ended.aborted ? "ended" : String(cause);
            return { kind: "broken", reason, isDisconnected: !isTimedOut && !ended.aborted && !isEndless(cause) };
        }
        finally {
            buffer.close();
            timeout.clear();
        }
    }

    async #writeRemainder(): Promise<RelayResult> {
        const remainder = this.#splitter.getRemainder();
        if (remainder.length > 0) {
            await this.#exchange.reply.write(remainder);
        }
        return { kind: "complete" };
    }

    /**
     * Evaluates the end of a stream without a known end, which a runner closes in the same way when the stream is complete and when it
     * crashes. A stream that may be incomplete is resumed after its last event. If it was complete, no events follow.
     */
    async #evaluateEnd(attempt: Attempt): Promise<RelayResult> {
        if (this.#splitter.getRemainder().length > 0) {
            return { kind: "broken", reason: "the answer ended inside an event", isDisconnected: true };
        }
        if (this.#exchange.route.isResumable && !await attempt.isUpstreamUp()) {
            return { kind: "broken", reason: "the answer may be incomplete", isDisconnected: true };
        }
        return { kind: "complete" };
    }

    async #writeEvents(bytes: Buffer): Promise<void> {
        for (const event of this.#splitter.push(bytes)) {
            this.#lastEventId = event.id ?? this.#lastEventId;
            await this.#exchange.reply.write(event.bytes);
        }
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
            reply.abort(error.kind === "not-made" ? `not resumed: ${error.reason}` : error.failure.reason);
            return;
        }
        reply.refuse(this.#createRefusal(error));
    }

    #createRefusal(error: AttemptFailure): Refusal {
        if (this.#exchange.isTimedOut) {
            return createTimeoutRefusal(this.#exchange);
        }
        if (this.#exchange.outcome === "not-run") {
            return createNotRunRefusal(this.#exchange, error, this.#pressure);
        }
        return {
            outcome: this.#exchange.outcome,
            failure: new Failure({
                kind: "upstream-failed",
                message: "No runner sent a complete answer, and the request may have run.",
                remedy: "Retry the request if it is safe to repeat.",
            }),
        };
    }
}
