/**
 * Ends the answer to the caller of a stream, and claims no more of its end than the runners have stated.
 */
import type { RegisteredUpstream } from "../fleet/index.js";
import type { AnswerEnd } from "./answerEnd.js";
import type { Exchange } from "./exchange.js";

/** Why an answer is broken off that its caller would take for whole. */
const unstatedReason = "the answer may be incomplete";

/** Times that a runner is asked again whether it has more: once for the part that it has sent, and once for the rest of that. */
const maxTimesAskedAgain = 2;

/** How the part of one runner has ended. */
export interface EndedPart {
    readonly end: AnswerEnd;
    /** Whether it had any events. */
    readonly hasEvents: boolean;
    /** Whether the runner has ended it itself: it has said so, or has outlived that end. */
    readonly isConfirmed: boolean;
    /** Whether another runner may go on with it. */
    readonly mayResume: boolean;
}

/** Ends one answer, which may have parts of several runners. */
export class ReplyEnding {
    readonly #exchange: Exchange;
    readonly #canRepeat: () => boolean;
    /** Whether what the caller has is either whole or broken off: the last part ended in order, without a framing and between events. */
    #mayBeWhole = false;
    /** The runner that has ended the last part so, and may be asked whether it has more. */
    #unconfirmed: RegisteredUpstream | undefined;
    #toAskAgain: RegisteredUpstream | undefined;
    #timesAskedAgain = 0;

    /**
     * @param exchange - The request.
     * @param canRepeat - Returns whether another runner can be asked for the rest.
     */
    constructor(exchange: Exchange, canRepeat: () => boolean) {
        this.#exchange = exchange;
        this.#canRepeat = canRepeat;
    }

    /**
     * Ends an answer whose runner has ended it. An end that the runner has not stated counts if it has outlived it, and no other runner
     * had stated where the answer ends. Otherwise another one is asked for the rest. If that one has nothing more, the answer was whole.
     * @param upstream - The runner.
     * @param part - How its answer ended.
     * @returns Whether the exchange has ended.
     */
    end(upstream: RegisteredUpstream, { end, hasEvents, isConfirmed, mayResume }: EndedPart): boolean {
        const { ended, reply } = this.#exchange;
        const isEndOfReply = !reply.hasStatedEnd || (this.#mayBeWhole && !hasEvents);
        if (end === "whole" || (isConfirmed && isEndOfReply)) {
            reply.end();
            return true;
        }
        this.#mayBeWhole = true;
        this.#unconfirmed = mayResume && isConfirmed ? upstream : undefined;
        if (mayResume && !ended.aborted && (this.#canRepeat() || this.askAgain())) {
            return false;
        }
        this.breakOff(unstatedReason);
        return true;
    }

    /**
     * Lets the runner that has ended the last part be asked once more, if its caller would otherwise be told that the answer is broken
     * off. It alone can say that it has nothing more where no other runner is left.
     * @returns Whether it is asked.
     */
    askAgain(): boolean {
        const { ended, reply } = this.#exchange;
        if (
            this.#unconfirmed === undefined || this.#timesAskedAgain >= maxTimesAskedAgain || !reply.hasStatedEnd
            || ended.aborted
        ) {
            return false;
        }
        this.#timesAskedAgain += 1;
        this.#toAskAgain = this.#unconfirmed;
        this.#unconfirmed = undefined;
        return true;
    }

    /** Returns the runner that alone is asked next, once. */
    takeAskedAgain(): RegisteredUpstream | undefined {
        const upstream = this.#toAskAgain;
        this.#toAskAgain = undefined;
        return upstream;
    }

    /** Records that a part of an answer was broken off. If it had events, those before it were not the whole answer. */
    markBroken(hasEvents: boolean): void {
        this.#mayBeWhole &&= !hasEvents;
        if (hasEvents) {
            this.#unconfirmed = undefined;
        }
    }

    /** Breaks an answer off. */
    breakOff(reason: string): void {
        this.#exchange.reply.abort(reason);
    }
}
