/**
 * Keeps the answer that a caller gets if no attempt at a call brings a better one.
 */
import { minServerErrorStatus, type UpstreamAnswer } from "./upstreamCall.js";

/** An answer that was read completely. */
export interface BufferedAnswer {
    readonly head: UpstreamAnswer;
    readonly body: Buffer;
    /** Whether its upstream has said that it is complete. */
    readonly isWhole: boolean;
}

/** The failed and the possibly incomplete answers to one call. */
export class FallbackAnswer {
    /** Lengths of the bodies of the successes that may be incomplete, in the order of their attempts. */
    readonly #partialBytes: number[] = [];
    #answer: BufferedAnswer | undefined;

    /** The answer to deliver; undefined if there was none. */
    get answer(): BufferedAnswer | undefined {
        return this.#answer;
    }

    /** Lengths of the bodies among which the answer was chosen, if they may be incomplete. */
    get partialBytes(): readonly number[] {
        return this.#partialBytes;
    }

    /** Adds an answer. A success that may be incomplete is better than a failure. */
    add(answer: BufferedAnswer): void {
        if (isSuccess(answer)) {
            this.#partialBytes.push(answer.body.length);
        }
        if (this.#answer === undefined || !isSuccess(this.#answer)) {
            this.#answer = answer;
        }
    }
}

function isSuccess({ head }: BufferedAnswer): boolean {
    return head.status < minServerErrorStatus;
}
