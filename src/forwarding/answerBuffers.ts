/**
 * Bounds what a node holds of answers, and of single events, that it reads completely before it passes them on.
 *
 * The load it answers: upstreams that send bytes without end. The connection of the one that takes the most memory is closed, however
 * many answers are read beside it.
 */

/** Reason of attempts whose answers were given up, for log lines. */
export const oversizedReason = "the answer takes more memory than answers may";

/** Called with the upstream of an answer that is given up, and the bytes of it that are held. */
export type OversizedListener = (upstream: string, heldBytes: number) => void;

/** Options of `AnswerBuffers`. */
export interface AnswerBuffersOptions {
    /** Returns the bytes of all answers beyond which the largest one is given up. */
    readonly getMaxNodeBytes: () => number;
    readonly onOversized: OversizedListener;
}

/** What is held of one answer. */
export interface AnswerBuffer {
    /** Whether the answer was given up, so that no more of it may be read. */
    readonly isGivenUp: boolean;
    /** Records how many bytes of the answer are held now. May give up this answer or others. */
    hold(bytes: number): void;
    /** Records that the answer is no longer held here. */
    close(): void;
}

/** Counts what is held of all answers of a node, and gives up the largest ones. */
export class AnswerBuffers {
    readonly #options: AnswerBuffersOptions;
    readonly #held = new Set<HeldBytes>();
    #heldBytes = 0;

    constructor(options: AnswerBuffersOptions) {
        this.#options = options;
    }

    /** Returns the bytes of answers that are held. */
    getHeldBytes(): number {
        return this.#heldBytes;
    }

    /**
     * Adds an answer.
     * @param upstream - Identifier of the upstream that sends it.
     * @param onGiveUp - Called at most once; must close the upstream's connection.
     */
    add(upstream: string, onGiveUp: () => void): AnswerBuffer {
        const held = new HeldBytes(bytes => this.#handleChange(held, bytes), bytes => {
            onGiveUp();
            this.#options.onOversized(upstream, bytes);
        });
        return held;
    }

    #handleChange(held: HeldBytes, change: number): void {
        this.#heldBytes += change;
        if (held.bytes === 0) {
            this.#held.delete(held);
            return;
        }
        this.#held.add(held);
        if (change > 0) {
            this.#giveUpLargest();
        }
    }

    #giveUpLargest(): void {
        const maxBytes = this.#options.getMaxNodeBytes();
        while (this.#heldBytes > maxBytes) {
            let largest: HeldBytes | undefined;
            for (const held of this.#held) {
                if (largest === undefined || held.bytes > largest.bytes) {
                    largest = held;
                }
            }
            largest?.giveUp();
        }
    }
}

/** Counts what is held of one answer. */
class HeldBytes implements AnswerBuffer {
    readonly #onChange: (bytes: number) => void;
    readonly #onGiveUp: (heldBytes: number) => void;
    #bytes = 0;
    #isGivenUp = false;

    /**
     * @param onChange - Called after each change with its size in bytes.
     * @param onGiveUp - Called with the bytes that were held when the answer is given up.
     */
    constructor(onChange: (bytes: number) => void, onGiveUp: (heldBytes: number) => void) {
        this.#onChange = onChange;
        this.#onGiveUp = onGiveUp;
    }

    get bytes(): number {
        return this.#bytes;
    }

    get isGivenUp(): boolean {
        return this.#isGivenUp;
    }

    hold(bytes: number): void {
        if (!this.#isGivenUp) {
            this.#change(bytes);
        }
    }

    giveUp(): void {
        const heldBytes = this.#bytes;
        this.#isGivenUp = true;
        this.#change(0);
        this.#onGiveUp(heldBytes);
    }

    close(): void {
        this.#change(0);
    }

    #change(bytes: number): void {
        const change = bytes - this.#bytes;
        this.#bytes = bytes;
        if (change !== 0) {
            this.#onChange(change);
        }
    }
}
