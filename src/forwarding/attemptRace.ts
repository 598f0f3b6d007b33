/**
 * Makes the attempts of one request until an answer begins. An attempt that is overdue is kept beside the one that is to replace it, and
 * the one whose answer begins first goes on.
 */
import { err, ok, type Result } from "neverthrow";
import type { Attempt, AttemptFailure, AttemptRequest } from "./attempt.js";
import type { Attempts } from "./attempts.js";
import type { Exchange } from "./exchange.js";
import { LateAttempt } from "./lateAttempt.js";
import type { PendingAttempt } from "./pendingAttempt.js";
import { isCertainlyNotRun, minServerErrorStatus } from "./upstreamCall.js";

/** The attempts of one request. At most one is kept beside the current one. */
export class AttemptRace {
    readonly #exchange: Exchange;
    readonly #attempts: Pick<Attempts, "start" | "isQuarantined" | "isSuspect">;
    #late: LateAttempt | undefined;

    /**
     * @param exchange - The request.
     * @param attempts - Sends the attempts to upstreams.
     */
    constructor(exchange: Exchange, attempts: Pick<Attempts, "start" | "isQuarantined" | "isSuspect">) {
        this.#exchange = exchange;
        this.#attempts = attempts;
    }

    /** Whether an attempt is kept, whose answer may still begin. */
    get isOpen(): boolean {
        return this.#late !== undefined;
    }

    /** Aborted when the answer of the attempt that is kept begins; undefined if none is kept. */
    get otherBegins(): AbortSignal | undefined {
        return this.#late?.begins;
    }

    /**
     * Makes one attempt, and further ones beside it while none has begun. A failure is returned when no other attempt is awaited.
     * @param request - The request and its timeouts.
     */
    async make(request: AttemptRequest): Promise<Result<Attempt, AttemptFailure>> {
        for (;;) {
            const started = await this.#start(request);
            const result = await started.match(
                attempt => this.#waitForHead(attempt, request),
                error => Promise.resolve(err<Attempt, AttemptFailure>(error)),
            );
            if (result === undefined) {
                continue;
            }
            if (result.isOk()) {
                return this.#settle(result.value);
            }
            if (!await this.#mayAwaitOther(result.error)) {
                return result;
            }
        }
    }

    /** Ends the attempt that is kept, if there is one. */
    close(): void {
        this.#late?.replace();
        this.#late = undefined;
    }

    /** Starts the next attempt, or goes on with the one that is kept if no next one is admitted. */
    async #start(request: AttemptRequest): Promise<Result<PendingAttempt, AttemptFailure>> {
        const late = this.#late;
        if (late === undefined || (this.#exchange.reservation !== undefined && !late.begins.aborted)) {
            return this.#attempts.start({ ...request, withdrawal: late?.begins ?? request.withdrawal });
        }
        this.#exchange.takeReservation();
        this.#late = undefined;
        return ok(late.take());
    }

    /** Waits for the start of an answer. Undefined if it is overdue and the next attempt is admitted. */
    async #waitForHead(
        attempt: PendingAttempt,
        { withdrawal, mayBeKept }: AttemptRequest,
    ): Promise<Result<Attempt, AttemptFailure> | undefined> {
        // Beside an answer that is kept already, no attempt is.
        if (withdrawal !== undefined || !await attempt.waitUntilReplaced()) {
            return attempt.result;
        }
        // Two upstreams that run a suspect request may crash at once.
        if (this.#attempts.isSuspect(this.#exchange) || mayBeKept?.() === false) {
            attempt.giveUp();
            return attempt.result;
        }
        this.#keep(attempt);
        return undefined;
    }

    #keep(attempt: PendingAttempt): void {
        this.#late?.replace();
        const late = new LateAttempt({
            attempt,
            onBegin: () => this.#exchange.markRun("ran"),
            onFail: error => {
                this.#markRun(error);
                if (this.#late === late) {
                    this.#late = undefined;
                }
            },
        });
        this.#late = late;
    }

    /** Decides between an answer that has begun and the attempt that is kept. */
    async #settle(attempt: Attempt): Promise<Result<Attempt, AttemptFailure>> {
        const late = this.#late;
        // One that was admitted just as this attempt has begun is not made at once.
        this.#exchange.takeReservation();
        if (late?.begins.aborted === true) {
            attempt.drop("an earlier attempt has begun");
            attempt.cancel();
            this.#late = undefined;
            return late.take().result;
        }
        if (attempt.answer.status < minServerErrorStatus) {
            this.close();
        }
        return ok(attempt);
    }

    /** Returns whether the attempt that is kept is awaited after another one has failed. */
    async #mayAwaitOther(error: AttemptFailure): Promise<boolean> {
        if (this.#late === undefined || this.#hasOtherBegun()) {
            return this.#late !== undefined;
        }
        this.#markRun(error);
        await this.#exchange.waitForEvaluations();
        if (!this.#hasOtherBegun() && this.#attempts.isQuarantined(this.#exchange)) {
            this.close();
        }
        return this.isOpen;
    }

    #hasOtherBegun(): boolean {
        return this.#late?.begins.aborted === true;
    }

    #markRun(error: AttemptFailure): void {
        if (error.kind === "failed" && !isCertainlyNotRun(error.failure)) {
            this.#exchange.markRun("unknown");
        }
    }
}
