/**
 * Bounds what a node holds of answers that their callers have not read yet.
 *
 * The load it answers: many callers read slowly, while upstreams expect that their answers are read at once. The answers are read on,
 * and what waits for callers is bounded for each reply and for the node.
 */
import type { Clock } from "../common/index.js";

/**
 * Memory that a piece takes beside its bytes, with the objects that carry it. A reply of many small events takes more for them than for
 * its content.
 */
const pieceOverheadBytes = 512;

/** The bound for which a reply was given up. */
export type ReplyBound = "reply" | "node";

/** Called with the bound for which a reply was given up, and with the bytes that it held. */
export type GiveUpListener = (bound: ReplyBound, heldBytes: number) => void;

/** Options of `ReplyBuffers`. */
export interface ReplyBuffersOptions {
    readonly clock: Clock;
    /** Bytes of one reply beyond which no more of its answer is read. */
    readonly maxReplyBytes: number;
    /** Returns the bytes of all replies beyond which replies are given up. */
    readonly getMaxNodeBytes: () => number;
}

/** What waits for the caller of one reply. */
export interface ReplyBuffer {
    /** Records that a piece was written. May give up this reply or others. */
    add(pieceBytes: number): void;
    /** Records that a piece has left the process. */
    release(pieceBytes: number): void;
    /** Returns whether no more of the answer may be read for now. */
    isFull(): boolean;
    /** Gives the reply up, because its caller does not read. */
    giveUp(): void;
    /** Forgets the reply, whose connection has ended or no longer belongs to it. */
    close(): void;
}

/** Counts what waits for all callers of a node, and chooses the replies to give up. */
export class ReplyBuffers {
    readonly #options: ReplyBuffersOptions;
    /** Replies whose callers have not read all that was written. */
    readonly #behind = new Set<HeldReply>();
    #heldBytes = 0;

    constructor(options: ReplyBuffersOptions) {
        this.#options = options;
    }

    /** Returns the bytes that wait for callers. */
    getHeldBytes(): number {
        return this.#heldBytes;
    }

    /** Returns the number of callers that have not read all that was written to them. */
    countBehind(): number {
        return this.#behind.size;
    }

    /**
     * Adds a reply.
     * @param onGiveUp - Called at most once. The reply's connection must then be reset and its run cancelled.
     */
    add(onGiveUp: GiveUpListener): ReplyBuffer {
        const { clock, maxReplyBytes } = this.#options;
        return new HeldReply({
            clock,
            maxBytes: maxReplyBytes,
            onGiveUp,
            onChange: (reply, bytes) => this.#handleChange(reply, bytes),
        });
    }

    #handleChange(reply: HeldReply, bytes: number): void {
        this.#heldBytes += bytes;
        if (reply.heldBytes === 0) {
            this.#behind.delete(reply);
            return;
        }
        this.#behind.add(reply);
        if (bytes > 0) {
            this.#giveUpCostliest();
        }
    }

    /** Gives up replies until the rest fits: each time the one that has held the most bytes for the longest time. */
    #giveUpCostliest(): void {
        const maxBytes = this.#options.getMaxNodeBytes();
        while (this.#heldBytes > maxBytes) {
            let costliest: HeldReply | undefined;
            for (const reply of this.#behind) {
                if (costliest === undefined || reply.getCost() > costliest.getCost()) {
                    costliest = reply;
                }
            }
            costliest?.giveUp("node");
        }
    }
}

/** Options of `HeldReply`. */
interface HeldReplyOptions {
    readonly clock: Clock;
    readonly maxBytes: number;
    readonly onGiveUp: GiveUpListener;
    /** Called after each change with its size in bytes. */
    readonly onChange: (reply: HeldReply, bytes: number) => void;
}

/** Counts what waits for one caller. */
class HeldReply implements ReplyBuffer {
    readonly #options: HeldReplyOptions;
    #heldBytes = 0;
    /** Monotonic time at which the caller had last read everything. */
    #behindSince = 0;
    #isClosed = false;

    constructor(options: HeldReplyOptions) {
        this.#options = options;
    }

    get heldBytes(): number {
        return this.#heldBytes;
    }

    add(pieceBytes: number): void {
        if (this.#isClosed) {
            return;
        }
        if (this.#heldBytes === 0) {
            this.#behindSince = this.#options.clock.monotonic();
        }
        this.#change(pieceBytes + pieceOverheadBytes);
    }

    release(pieceBytes: number): void {
        if (!this.#isClosed) {
            this.#change(-(pieceBytes + pieceOverheadBytes));
        }
    }

    isFull(): boolean {
        return this.#heldBytes > this.#options.maxBytes;
    }

    /** Returns the bytes held times the milliseconds for which the caller has been behind. */
    getCost(): number {
        return this.#heldBytes * (1 + this.#options.clock.monotonic() - this.#behindSince);
    }

    giveUp(bound: ReplyBound = "reply"): void {
        if (!this.#isClosed) {
            const heldBytes = this.#heldBytes;
            this.close();
            this.#options.onGiveUp(bound, heldBytes);
        }
    }

    close(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#change(-this.#heldBytes);
        }
    }

    #change(bytes: number): void {
        this.#heldBytes += bytes;
        this.#options.onChange(this, bytes);
    }
}
