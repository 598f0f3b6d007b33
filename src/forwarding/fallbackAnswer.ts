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
    /** Whether its upstream has ended it itself: it has said so, or has outlived that end. Only such an answer may be delivered. */
    readonly isConfirmed: boolean;
}

/** The failed and the possibly incomplete answers to one call. */
export class FallbackAnswer {
    /** Lengths of the bodies of the successes that may be incomplete, in the order of their attempts. */
    readonly #partialBytes: number[] = [];
    #answer: BufferedAnswer | undefined;
    #isAgreed = false;

    /** Whether there was any. */
    get isEmpty(): boolean {
        return this.#answer === undefined;
    }

    /** The answer to deliver; undefined if there was none that may be. */
    get deliverable(): BufferedAnswer | undefined {
        return this.#answer?.isConfirmed === true ? this.#answer : undefined;
    }

    /** Lengths of the bodies among which the answer was chosen, if they may be incomplete. */
    get partialBytes(): readonly number[] {
        return this.#partialBytes;
    }

    /**
     * Whether two attempts have brought the same answer, so that a further one would tell no more. Two upstreams that were killed may
     * have broken off at the same byte.
     */
    get isAgreed(): boolean {
        return this.#isAgreed;
    }

    /**
     * Adds an answer. A success that may be incomplete is better than a failure, one that may be delivered better than one that may not,
     * and one that says more than another is better.
     */
    add(answer: BufferedAnswer): void {
        const known = this.#answer;
        if (isSuccess(answer)) {
            this.#partialBytes.push(answer.body.length);
            const isEqual = known?.head.status === answer.head.status && known.body.equals(answer.body);
            this.#isAgreed ||= isEqual && (known.isConfirmed || answer.isConfirmed);
        }
        if (known === undefined || isBetter(answer, known)) {
            this.#answer = answer;
        }
    }
}

function isBetter(answer: BufferedAnswer, known: BufferedAnswer): boolean {
    if (!isSuccess(known)) {
        return true;
    }
    if (isSuccess(answer) && answer.isConfirmed !== known.isConfirmed) {
        return answer.isConfirmed;
    }
    return saysMore(answer, known);
}

/** Returns whether an answer is longer than another one of the same class of statuses, of which a part may be missing. */
function saysMore({ head, body }: BufferedAnswer, other: BufferedAnswer): boolean {
    return getStatusClass(head.status) === getStatusClass(other.head.status) && body.length > other.body.length;
}

function getStatusClass(status: number): number {
    return Math.floor(status / 100);
}

function isSuccess({ head }: BufferedAnswer): boolean {
    return head.status < minServerErrorStatus;
}
