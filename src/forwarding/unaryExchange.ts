/**
 * Forwards requests with a single answer, which is read completely before it is sent.
 */
import { ok, type Result } from "neverthrow";
import { ByteCollector, type Refusal } from "../common/index.js";
import { isEndless } from "../connections/index.js";
import type { PoolPressure, WindowedRetryBudget } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import { isRepeatable } from "../routing/index.js";
import { type AnswerBuffers, oversizedReason } from "./answerBuffers.js";
import { type AnswerEnd, crashedAtEndReason, getAnswerForm, judgeAnswerEnd, unconfirmedReason } from "./answerEnd.js";
import type { Attempt, AttemptFailure } from "./attempt.js";
import { AttemptRace } from "./attemptRace.js";
import type { Attempts } from "./attempts.js";
import { EventSplitter } from "./eventSplitter.js";
import { type Exchange, getRankedRequest } from "./exchange.js";
import { type BufferedAnswer, FallbackAnswer } from "./fallbackAnswer.js";
import type { HeadTimes } from "./headTimes.js";
import { createAnswerRefusal, createBrokenFailure } from "./refusals.js";
import { isCertainlyNotRun, minServerErrorStatus, type UpstreamAnswer } from "./upstreamCall.js";

/** Parts that answer plain requests. */
export interface UnaryParts {
    /** Sends the attempts to upstreams. */
    readonly attempts: Attempts;
    /** The retry budget of the pool. */
    readonly budget: WindowedRetryBudget;
    readonly pressure: PoolPressure;
    readonly headTimes: HeadTimes;
    /** Bounds the answers that are read. */
    readonly answerBuffers: AnswerBuffers;
    readonly journal: Journal;
}

/**
 * Answers a request. Retries at another upstream after a failure if the request may be repeated.
 * @param exchange - The request.
 * @param parts - The parts that it needs.
 */
export async function runUnary(exchange: Exchange, parts: UnaryParts): Promise<void> {
    const race = new AttemptRace(exchange, parts.attempts);
    try {
        await runRace(exchange, race, parts);
    }
    finally {
        race.close();
    }
}

async function runRace(exchange: Exchange, race: AttemptRace, parts: UnaryParts): Promise<void> {
    const { budget, pressure, headTimes, journal } = parts;
    const watch = headTimes.watch(exchange, budget);
    const fallback = new FallbackAnswer();
    for (;;) {
        const attempt = await race.make({
            exchange,
            model: undefined,
            lastEventId: undefined,
            prompt: undefined,
            watchHead: expected => watch.start(expected),
            getRetryReserve: allowed => pressure.getRetryReserve(getRankedRequest(exchange), allowed),
            mayWait: () => fallback.isEmpty || isWaitInTime(exchange, pressure),
        });
        if (attempt.isErr()) {
            if (canRetry(exchange, attempt.error)) {
                continue;
            }
            const getRefusal = (): Refusal => createRefusal(exchange, attempt.error, pressure);
            finishWithoutAnswer(exchange, { fallback, journal, getRefusal });
            return;
        }
        const answer = await readAnswer(exchange, attempt.value, {
            buffers: parts.answerBuffers,
            otherBegins: race.otherBegins,
        });
        if (answer.isErr()) {
            if (isRepeatable(exchange.route)) {
                continue;
            }
            const getRefusal = (): Refusal => createRefusal(exchange, answer.error, pressure);
            finishWithoutAnswer(exchange, { fallback, journal, getRefusal });
            return;
        }
        if (isFailedOrPartial(answer.value) && isRepeatable(exchange.route)) {
            fallback.add(answer.value);
            if (!fallback.isAgreed) {
                continue;
            }
            sendFallback(exchange, answer.value, { fallback, journal });
            return;
        }
        if (!answer.value.isConfirmed) {
            exchange.reply.refuse(createRefusal(exchange, createBrokenFailure(unconfirmedReason).error, pressure));
            return;
        }
        sendAnswer(exchange, answer.value);
        return;
    }
}

/** Returns whether there is room for a further attempt now, or is expected to be within the route's objective. */
function isWaitInTime(exchange: Exchange, pressure: PoolPressure): boolean {
    const wait = pressure.getWaitMilliseconds(getRankedRequest(exchange));
    return wait === 0 || exchange.getElapsed() + wait <= exchange.route.objectiveMilliseconds;
}

/** Returns whether another attempt is permitted after a failure. The number of attempts is limited by `Attempts`. */
function canRetry(exchange: Exchange, error: AttemptFailure): boolean {
    if (error.kind === "not-made") {
        return false;
    }
    if (isCertainlyNotRun(error.failure)) {
        return true;
    }
    exchange.markRun("unknown");
    return isRepeatable(exchange.route);
}

/**
 * Reads an answer.
 * @param exchange - The request.
 * @param attempt - The attempt.
 * @param options - What bounds the answers, and a signal that another attempt has begun, for which this one's failure is given up.
 */
async function readAnswer(
    exchange: Exchange,
    attempt: Attempt,
    { buffers, otherBegins }: { readonly buffers: AnswerBuffers; readonly otherBegins: AbortSignal | undefined; },
): Promise<Result<BufferedAnswer, AttemptFailure>> {
    const { answer } = attempt;
    exchange.markRun("ran");
    const body = new ByteCollector();
    const buffer = buffers.add(attempt.upstream.id, attempt.cancel);
    otherBegins?.addEventListener("abort", attempt.cancel);
    try {
        for await (const chunk of answer.body) {
            body.add(chunk);
            buffer.hold(body.length);
            if (buffer.isGivenUp) {
                break;
            }
        }
    }
    catch (cause) {
        if (buffer.isGivenUp) {
            return failOversized(attempt);
        }
        if (otherBegins?.aborted === true) {
            attempt.finish("error", `status ${answer.status}`, "stopped");
            return createBrokenFailure(String(cause));
        }
        const isEnded = exchange.ended.aborted;
        const end = isEnded || isEndless(cause) ? "stopped" : "disconnected";
        attempt.finish(isEnded ? "cancelled" : "failed", `truncated: ${String(cause)}`, end);
        return createBrokenFailure(String(cause));
    }
    finally {
        buffer.close();
        otherBegins?.removeEventListener("abort", attempt.cancel);
    }
    if (buffer.isGivenUp) {
        return failOversized(attempt);
    }
    const bytes = body.read();
    const end = judgeBody(exchange, answer, bytes);
    if (end === "inside-event") {
        const reason = "the answer ended inside an event";
        attempt.finish("failed", reason, answer.hasKnownEnd ? "stopped" : "disconnected");
        return createBrokenFailure(reason);
    }
    const isWhole = end === "whole";
    const isConfirmed = isWhole || await attempt.confirmEnd();
    await recordEnd(attempt, { isConfirmed });
    return ok({ head: answer, body: bytes, isWhole, isConfirmed });
}

/** Records the end of an attempt whose upstream has ended its answer in order. */
async function recordEnd(
    attempt: Attempt,
    { isConfirmed }: Pick<BufferedAnswer, "isConfirmed">,
): Promise<void> {
    if (!isConfirmed && await attempt.hasUpstreamCrashed()) {
        attempt.finish("failed", crashedAtEndReason, "disconnected");
        return;
    }
    const { status } = attempt.answer;
    const outcome = status >= minServerErrorStatus ? "error" : "ok";
    const reason = isConfirmed ? `status ${status}` : `status ${status}, ${unconfirmedReason}`;
    attempt.finish(outcome, reason, isConfirmed ? "complete" : "disconnected");
}

function judgeBody({ route }: Exchange, answer: UpstreamAnswer, body: Buffer): AnswerEnd {
    const form = getAnswerForm(route, answer);
    const splitter = new EventSplitter();
    if (form === "events") {
        splitter.push(body);
    }
    return judgeAnswerEnd(answer, form, splitter);
}

/** Ends an attempt whose answer was given up. The upstream did not crash, so its run has merely stopped. */
function failOversized(attempt: Attempt): Result<never, AttemptFailure> {
    attempt.finish("failed", oversizedReason, "stopped");
    return createBrokenFailure(oversizedReason);
}

/** Returns whether a retry may give a better answer: this one is a failure or may be incomplete. */
function isFailedOrPartial({ head, isWhole }: BufferedAnswer): boolean {
    return head.status >= minServerErrorStatus || !isWhole;
}

function sendAnswer({ reply }: Exchange, { head, body }: BufferedAnswer): void {
    reply.answer(head.status, head.headers, body);
}

/** Delivers the best of the answers that came, or refuses the request if none may be delivered. */
function finishWithoutAnswer(
    exchange: Exchange,
    { fallback, journal, getRefusal }: {
        readonly fallback: FallbackAnswer;
        readonly journal: Journal;
        readonly getRefusal: () => Refusal;
    },
): void {
    const answer = fallback.deliverable;
    if (answer === undefined) {
        exchange.reply.refuse(getRefusal());
        return;
    }
    // The upstream's own failure is more informative than a refusal by the router.
    sendFallback(exchange, answer, { fallback, journal });
}

function sendFallback(
    exchange: Exchange,
    answer: BufferedAnswer,
    { fallback: { partialBytes }, journal }: { readonly fallback: FallbackAnswer; readonly journal: Journal; },
): void {
    if (partialBytes.length > 0) {
        journal.write(events.partialAnswerChosen, {
            request: exchange.request.id,
            bytes: partialBytes.join(","),
            chosenBytes: answer.body.length,
        });
    }
    sendAnswer(exchange, answer);
}

function createRefusal(exchange: Exchange, error: AttemptFailure, pressure: PoolPressure): Refusal {
    return createAnswerRefusal(exchange, error, pressure, {
        message: "The upstream sent no complete answer, and the request may have run.",
        remedy: "Check whether it took effect before sending it again.",
    });
}
