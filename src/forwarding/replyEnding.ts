/**
 * Ends the answer to the caller of a stream, and claims no more of its end than the runners have stated.
 */
import type { RegisteredUpstream } from "../fleet/index.js";
import type { AnswerEnd } from "./answerEnd.js";
import type { Exchange } from "./exchange.js";

/** Why an answer is broken off that its caller would take for whole. */
const unstatedReason = "the answer may be incomplete";

/** How the part of one runner has ended. */
export interface EndedPart {
    readonly end: AnswerEnd;
    /** Whether it had any events. */
    readonly hasEvents: boolean;
    /** Whether the runner has crashed. */
    readonly hasCrashed: boolean;
    /** Whether another runner may go on with it. */
    readonly mayResume: boolean;
}

/** Ends one answer, which may have parts of several runners. */
export class ReplyEnding {
    readonly #exchange: Exchange;
    readonly #canRepeat: () => boolean;
    /** Whether what the caller has is either whole or broken off: the last part ended in order, without a framing and between events. */
    #mayBeWhole = false;

    /**
     * @param exchange - The request.
     * @param canRepeat - Returns whether another runner can be asked for the rest.
     */
    constructor(exchange: Exchange, canRepeat: () => boolean) {
        this.#exchange = exchange;
        this.#canRepeat = canRepeat;
    }

    /**
     * Ends an answer whose runner has ended it. Where that runner has not said that it is whole, another one is asked for the rest if the
     * caller would be told so, or if the runner has crashed. If that one has nothing more, the answer was whole.
     * @param upstream - The runner.
     * @param part - How its answer ended.
     * @returns Whether the exchange has ended.
     */
    end(upstream: RegisteredUpstream, { end, hasEvents, hasCrashed, mayResume }: EndedPart): boolean {
        const { ended, reply } = this.#exchange;
        if (end === "whole" || (this.#mayBeWhole && !hasEvents)) {
            reply.end();
            return true;
        }
        this.#mayBeWhole = true;
        void upstream;
        if (mayResume && !ended.aborted && (reply.hasKnownEnd || hasCrashed) && this.#canRepeat()) {
            return false;
        }
        this.breakOff(unstatedReason);
        return true;
    }

    /** Records that a part of an answer was broken off. If it had events, those before it were not the whole answer. */
    markBroken(hasEvents: boolean): void {
        this.#mayBeWhole &&= !hasEvents;
    }

    /** Breaks an answer off. One that may be whole, of which its caller is told nothing, ends in order. */
    breakOff(reason: string): void {
        const { reply } = this.#exchange;
        if (this.#mayBeWhole && !reply.hasKnownEnd) {
            reply.end();
            return;
        }
        reply.abort(reason);
    }
}
