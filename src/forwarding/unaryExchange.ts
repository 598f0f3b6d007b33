/**
 * Requests with one whole answer.
 */
import { ok, type Result } from "neverthrow";
import { Failure, type Refusal } from "../common/index.js";
import { isRepeatable } from "../routing/index.js";
import type { Attempt, AttemptFailure, Attempts } from "./attempts.js";
import { createTimeoutRefusal, type Exchange } from "./exchange.js";
import { createBroken, refuseUnsent } from "./refusals.js";
import { isCertainlyNotRun, type UpstreamAnswer } from "./upstreamCall.js";

/**
 * Part of the time left that a repeatable request waits for one upstream while another attempt is allowed. An upstream
 * that fell silent would otherwise use up the whole deadline; the answer of a sound one takes a small part of it.
 */
const attemptShare = 0.4;
/** A silent upstream is not given up sooner, in milliseconds: the slowest one in a hundred answers takes 220. */
const leastAttemptMilliseconds = 300;
/** Status codes from here on are failures of the upstream. */
const firstServerError = 500;

/** An answer that was read whole. */
interface WholeAnswer {
    readonly head: UpstreamAnswer;
    readonly body: Buffer;
}

/**
 * Answers a request, trying another upstream where the first one failed and the request may be repeated.
 * @param exchange - The request.
 * @param attempts - Makes the attempts.
 */
export async function runUnary(exchange: Exchange, attempts: Attempts): Promise<void> {
    let failed: WholeAnswer | undefined;
    for (;;) {
        const made = await attempts.make({
            exchange,
            model: undefined,
            lastEventId: undefined,
            prompt: undefined,
            getHeadTimeout: () => getHeadTimeout(exchange),
        });
        if (made.isErr()) {
            if (mayTryAgain(exchange, made.error)) {
                continue;
            }
            finishFailed(exchange, made.error, failed);
            return;
        }
        const answered = await readAnswer(exchange, made.value);
        if (answered.isErr()) {
            if (isRepeatable(exchange.route)) {
                continue;
            }
            finishFailed(exchange, answered.error, failed);
            return;
        }
        if (answered.value.head.status >= firstServerError && isRepeatable(exchange.route)) {
            failed = answered.value;
            continue;
        }
        give(exchange, answered.value);
        return;
    }
}

function getHeadTimeout(exchange: Exchange): number {
    const left = exchange.getTimeLeft();
    if (!isRepeatable(exchange.route) || exchange.attempts >= exchange.route.maximumAttempts) {
        return left;
    }
    return Math.max(leastAttemptMilliseconds, left * attemptShare);
}

/** Tells whether the failure of an attempt leaves another one open. Attempts themselves are bounded elsewhere. */
function mayTryAgain(exchange: Exchange, error: AttemptFailure): boolean {
    if (error.kind === "not-made") {
        return false;
    }
    if (isCertainlyNotRun(error.failure)) {
        return true;
    }
    exchange.markRun("unknown");
    return isRepeatable(exchange.route);
}

async function readAnswer(exchange: Exchange, attempt: Attempt): Promise<Result<WholeAnswer, AttemptFailure>> {
    const { answer } = attempt;
    exchange.markRun("ran");
    const pieces: Buffer[] = [];
    try {
        for await (const piece of answer.body) {
            pieces.push(piece);
        }
    }
    catch (cause) {
        attempt.finish(exchange.ended.aborted ? "cancelled" : "failed", `broke off: ${String(cause)}`);
        return createBroken(String(cause));
    }
    attempt.finish(answer.status >= firstServerError ? "error" : "ok", `status ${answer.status}`);
    return ok({ head: answer, body: Buffer.concat(pieces) });
}

function give(exchange: Exchange, { head, body }: WholeAnswer): void {
    exchange.reply.answer(head.status, head.headers, body);
}

function finishFailed(exchange: Exchange, error: AttemptFailure, failed: WholeAnswer | undefined): void {
    if (failed !== undefined) {
        // The upstream's own failure says more than any answer of the router's.
        give(exchange, failed);
        return;
    }
    exchange.reply.refuse(createRefusal(exchange, error));
}

function createRefusal(exchange: Exchange, error: AttemptFailure): Refusal {
    if (exchange.isTimedOut) {
        return createTimeoutRefusal(exchange);
    }
    if (exchange.outcome === "not-run") {
        return refuseUnsent(exchange, error);
    }
    return {
        outcome: exchange.outcome,
        failure: new Failure({
            kind: "upstream-failed",
            message: "The upstream broke off, and the request may have run.",
            remedy: "Find out whether it took effect before sending it again.",
        }),
    };
}
