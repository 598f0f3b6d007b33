/**
 * Forwards requests that are answered by a stream of events.
 */
import type { PoolPressure, WindowedRetryBudget } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import { isEndless } from "../upstream/index.js";
import { type AnswerBuffers, oversizedReason } from "./answerBuffers.js";
import type { Attempt, AttemptFailure, AttemptRequest } from "./attempt.js";
import { AttemptRace } from "./attemptRace.js";
import type { Attempts } from "./attempts.js";
import { recheckMilliseconds } from "./callCancellation.js";
import { type Exchange, getRankedRequest } from "./exchange.js";
import { FailedAnswer } from "./failedAnswer.js";
import { hasRetryLeft, type HeadTimes } from "./headTimes.js";
import type { HeadWatch } from "./headWatch.js";
import type { ForwardingMetrics } from "./metrics.js";
import { ModelCascade } from "./modelCascade.js";
import { createAnswerRefusal } from "./refusals.js";
import { SilentAnswer } from "./silentAnswer.js";
import { StreamAnswer } from "./streamAnswer.js";
import { isCertainlyNotRun, minServerErrorStatus } from "./upstreamCall.js";

const successStatus = 200;
/**
 * A resumable stream whose runner sends nothing for this factor times the pause objective is resumed at another runner, if one takes
 * it. Callers give up after eight times the objective.
 */
const pauseTimeoutFactor = 2;
/** A sound runner may send nothing for a second. Callers wait for two at least. */
const minPauseTimeoutMilliseconds = 1_300;
/** Pause objective of routes that configure none. */
const defaultPauseMilliseconds = 1_000;

/** Result of relaying an answer. */
type RelayResult =
    | { readonly kind: "complete"; }
    | { readonly kind: "silent"; readonly reason: string; }
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
    readonly #race: AttemptRace;
    readonly #budget: WindowedRetryBudget;
    readonly #pressure: PoolPressure;
    readonly #cascade: ModelCascade;
    readonly #watch: HeadWatch;
    /** Answer that goes on unless the attempt that is to replace it begins before. */
    #silent: SilentAnswer | undefined;
    readonly #failed = new FailedAnswer();
    readonly #answerBuffers: AnswerBuffers;
    readonly #journal: Journal;
    #lastEventId: string | undefined;

    constructor(options: StreamExchangeOptions) {
        const { exchange, attempts, budget, pressure, headTimes, journal, metrics } = options;
        this.#journal = journal;
        this.#answerBuffers = options.answerBuffers;
        this.#exchange = exchange;
        this.#attempts = attempts;
        this.#race = new AttemptRace(exchange, attempts);
        this.#budget = budget;
        this.#pressure = pressure;
        this.#cascade = new ModelCascade({ exchange, attempts, budget, pressure, journal, metrics });
        this.#watch = headTimes.watch(exchange, budget);
        this.#lastEventId = exchange.request.lastEventId;
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
            const attempt = await this.#race.make(this.#createAttemptRequest());
            const answered = attempt.isOk() ? this.#accept(attempt.value) : this.#takeBack(attempt.error);
            if (answered !== undefined) {
                if (await this.#relay(answered)) {
                    return;
                }
                continue;
            }
            if (attempt.isErr() && !this.#canRetry(attempt.error)) {
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
            lastEventId: this.#lastEventId,
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
        return this.#cascade.escalate(attempt) ? undefined : new StreamAnswer(attempt);
    }

    /** Returns the silent answer if the attempt that was to replace it does not continue it; otherwise ends that answer. */
    #takeSilentBack(attempt: Attempt): StreamAnswer | undefined {
        const silent = this.#silent;
        if (silent === undefined) {
            return undefined;
        }
        if (attempt.answer.status !== successStatus) {
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
        return attempt && new StreamAnswer(attempt);
    }

    /** Ends an attempt that answers in the middle of a stream with another status than that of its first part. */
    #rejectContinuation(attempt: Attempt): string {
        const reason = `status ${attempt.answer.status} in the middle of a stream`;
        attempt.finish("error", reason, "complete");
        attempt.cancel();
        return reason;
    }

    /**
     * Relays an answer event by event.
     * @returns Whether the exchange has ended.
     */
    async #relay(relayed: StreamAnswer): Promise<boolean> {
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
        const { route, reply } = this.#exchange;
        if (reply.hasStarted && answer.status !== successStatus) {
            reply.abort(this.#rejectContinuation(attempt));
            return true;
        }
        if (!reply.hasStarted) {
            reply.start(answer.status, answer.headers, { hasKnownEnd: answer.hasKnownEnd || route.isResumable });
        }
        const result = await this.#relayBody(relayed);
        if (result.kind === "silent") {
            this.#silent = this.#keep(relayed, result.reason);
            return false;
        }
        this.#endSilence(relayed, "ended");
        if (result.kind === "complete") {
            const outcome = answer.status >= minServerErrorStatus ? "error" : "ok";
            const isCertain = answer.hasKnownEnd || route.isResumable;
            attempt.finish(outcome, `status ${answer.status}`, isCertain ? "complete" : "stopped");
            reply.end();
            return true;
        }
        const end = result.isDisconnected ? "disconnected" : "stopped";
        attempt.finish(this.#exchange.ended.aborted ? "cancelled" : "failed", result.reason, end);
        attempt.cancel();
        if (
            !this.#exchange.ended.aborted && route.isResumable && answer.status === successStatus && this.#canRepeat()
        ) {
            return false;
        }
        reply.abort(result.reason);
        return true;
    }

    #canRepeat(): boolean {
        return this.#exchange.reservation !== undefined
            || hasRetryLeft(this.#exchange, this.#budget, this.#pressure);
    }

    async #relayBody(relayed: StreamAnswer): Promise<RelayResult> {
        const { reply, ended } = this.#exchange;
        const { attempt, body } = relayed;
        const isEventStream = attempt.answer.status === successStatus;
        const buffer = this.#answerBuffers.add(attempt.upstream.id, attempt.cancel);
        let passedBytes = 0;
        try {
            for (;;) {
                if (!await this.#waitForPiece(relayed)) {
                    return { kind: "silent", reason: `no data for ${this.#getPauseTimeout()} ms` };
                }
                const bytes = await body.read();
                if (bytes === undefined) {
                    break;
                }
                this.#endSilence(relayed, "went-on");
                attempt.markSeen();
                await (isEventStream ? this.#writeEvents(relayed, bytes) : reply.write(bytes));
                passedBytes += bytes.length;
                // What is no stream of events may be no larger than an answer that is read completely.
                buffer.hold(isEventStream ? relayed.splitter.remainderLength : passedBytes);
                if (buffer.isGivenUp) {
                    return { kind: "broken", reason: oversizedReason, isDisconnected: false };
                }
                if (reply.disconnected.aborted) {
                    return { kind: "broken", reason: "the caller has left", isDisconnected: false };
                }
            }
            return attempt.answer.hasKnownEnd ? await this.#writeRemainder(relayed) : await this.#evaluateEnd(relayed);
        }
        catch (cause) {
            if (buffer.isGivenUp) {
                return { kind: "broken", reason: oversizedReason, isDisconnected: false };
            }
            const reason = ended.aborted ? String(ended.reason) : String(cause);
            return { kind: "broken", reason, isDisconnected: !ended.aborted && !isEndless(cause) };
        }
        finally {
            buffer.close();
        }
    }

    /**
     * Waits until a runner sends something. A sound one may be silent for a while and go on, so it is given up only for another one
     * that has room for the request.
     * @returns Whether there is something to read. Otherwise the next attempt is admitted.
     */
    async #waitForPiece(relayed: StreamAnswer): Promise<boolean> {
        const { route } = this.#exchange;
        if (!route.isResumable || relayed.attempt.answer.status !== successStatus) {
            return true;
        }
        let milliseconds = relayed.silentSince === undefined ? this.#getPauseTimeout() : recheckMilliseconds;
        while (!await relayed.body.waitForPiece(milliseconds)) {
            relayed.silentSince ??= this.#exchange.getElapsed() - milliseconds;
            if (this.#attempts.reserveBeside(this.#createAttemptRequest())) {
                return false;
            }
            milliseconds = recheckMilliseconds;
        }
        return true;
    }

    #keep(answer: StreamAnswer, reason: string): SilentAnswer {
        return new SilentAnswer({
            answer,
            reason,
            ended: this.#exchange.ended,
            onReplace: () => this.#endSilence(answer, "replaced"),
        });
    }

    /** Records the end of a silence, if there was one. */
    #endSilence(answer: StreamAnswer, end: "went-on" | "replaced" | "ended"): void {
        if (answer.silentSince === undefined) {
            return;
        }
        this.#journal.write(events.silenceEnded, {
            request: this.#exchange.request.id,
            upstream: answer.attempt.upstream.id,
            end,
            silentMs: Math.round(this.#exchange.getElapsed() - answer.silentSince),
        });
        answer.silentSince = undefined;
    }

    /** Returns whether a further attempt is certain. Its upstream is then reserved. */
    #reserveNext(): Promise<boolean> {
        return this.#attempts.reserve(this.#createAttemptRequest(), this.#exchange.ended);
    }

    /** Returns the time without data after which another runner is asked, in milliseconds. */
    #getPauseTimeout(): number {
        const objective = this.#exchange.route.pauseObjectiveMilliseconds ?? defaultPauseMilliseconds;
        return Math.max(minPauseTimeoutMilliseconds, objective * pauseTimeoutFactor);
    }

    async #writeRemainder({ splitter }: StreamAnswer): Promise<RelayResult> {
        const remainder = splitter.getRemainder();
        if (remainder.length > 0) {
            await this.#exchange.reply.write(remainder);
        }
        return { kind: "complete" };
    }

    /**
     * Evaluates the end of a stream without a known end, which a runner closes in the same way when the stream is complete and when it
     * crashes. A stream that may be incomplete is resumed after its last event. If it was complete, no events follow.
     */
    async #evaluateEnd({ attempt, splitter }: StreamAnswer): Promise<RelayResult> {
        if (splitter.getRemainder().length > 0) {
            return { kind: "broken", reason: "the answer ended inside an event", isDisconnected: true };
        }
        if (this.#exchange.route.isResumable && !await attempt.isUpstreamUp()) {
            return { kind: "broken", reason: "the answer may be incomplete", isDisconnected: true };
        }
        return { kind: "complete" };
    }

    async #writeEvents({ splitter }: StreamAnswer, bytes: Buffer): Promise<void> {
        for (const event of splitter.push(bytes)) {
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
        reply.refuse(createAnswerRefusal(this.#exchange, error, this.#pressure, {
            message: "No runner sent a complete answer, and the request may have run.",
            remedy: "Retry the request if it is safe to repeat.",
        }));
    }
}
