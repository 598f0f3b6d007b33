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

/** An answer that was read to its end. */
interface ReadAnswer {
    readonly head: UpstreamAnswer;
    readonly body: Buffer;
}

/**
 * Answers a request, trying another upstream where the first one failed and the request may be repeated.
 * @param exchange - The request.
 * @param attempts - Makes the attempts.
 */
export async function runUnary(exchange: Exchange, attempts: Attempts): Promise<void> {
    let failed: ReadAnswer | undefined;
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
            await finishFailed(exchange, made.error, failed);
            return;
        }
        const answered = await readAnswer(exchange, made.value);
        if (answered.isErr()) {
            if (isRepeatable(exchange.route)) {
                continue;
            }
            await finishFailed(exchange, answered.error, failed);
            return;
        }
        if (isDoubtful(answered.value) && isRepeatable(exchange.route)) {
            failed = chooseFallback(failed, answered.value);
            continue;
        }
        await give(exchange, answered.value);
        return;
    }
}

function getHeadTimeout(exchange: Exchange): number | undefined {
    if (!isRepeatable(exchange.route) || exchange.attempts >= exchange.route.maximumAttempts) {
        return undefined;
    }
    return Math.max(leastAttemptMilliseconds, exchange.getTimeLeft() * attemptShare);
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

async function readAnswer(exchange: Exchange, attempt: Attempt): Promise<Result<ReadAnswer, AttemptFailure>> {
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

/** Tells whether another upstream may do better: this one failed, or what it gave may be a part only. */
function isDoubtful({ head }: ReadAnswer): boolean {
    return head.status >= firstServerError || !head.hasKnownEnd;
}

/** A success that may be a part beats a failure. */
function chooseFallback(first: ReadAnswer | undefined, second: ReadAnswer): ReadAnswer {
    return first !== undefined && first.head.status < firstServerError ? first : second;
}

async function give({ reply }: Exchange, { head, body }: ReadAnswer): Promise<void> {
    if (head.hasKnownEnd) {
        reply.answer(head.status, head.headers, body);
        return;
    }
    reply.begin(head.status, head.headers, { hasKnownEnd: false });
    await reply.write(body);
    reply.end();
}

async function finishFailed(
    exchange: Exchange,
    error: AttemptFailure,
    failed: ReadAnswer | undefined,
): Promise<void> {
    if (failed !== undefined) {
        // What the upstream itself said is worth more than any answer of the router's.
        await give(exchange, failed);
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
