/**
 * Reads the bodies of callers' requests.
 */
import type { IncomingMessage } from "node:http";
import { type BodyReservation, type BodyWait, smallBodyBytes } from "./bodyMemory.js";
import { ConnectionHold } from "./connectionHold.js";
import type { TurnQueue } from "./turnQueue.js";

/** Why a body was not read: its size, its caller, or the memory for bodies. */
export type UnreadReason = "too-large" | "gone" | "no-memory";

/** Number of pieces of a body after which it waits for its turn. Whole reads of a connection are fewer unless its chunks are tiny. */
const maxPiecesPerTurn = 512;

/** Options of `readBody`. */
export interface BodyOptions {
    /** Maximum size of the body in bytes. */
    readonly limit: number;
    /**
     * Time after which a body for which memory is reserved is given up and its connection closed, in milliseconds. A few callers that
     * send slowly would otherwise take all memory for bodies.
     */
    readonly maxMilliseconds: number;
    readonly memory: Pick<BodyReservation, "reserve" | "addProgress">;
    readonly wait: BodyWait;
    /** Turns of bodies in tiny pieces, each of which costs as much time as a large one. */
    readonly turns: TurnQueue;
}

/**
 * Reads a request's body into one buffer, after memory was reserved for it. A body whose size is not stated is read as far as it is small
 * before the largest size is reserved.
 * @param incoming - The request.
 * @param options - The options.
 */
export async function readBody(incoming: IncomingMessage, options: BodyOptions): Promise<Buffer | UnreadReason> {
    const stated = getStatedLength(incoming);
    if (stated !== undefined && stated > options.limit) {
        return "too-large";
    }
    if (stated !== undefined && !await options.memory.reserve(stated, options.wait)) {
        return "no-memory";
    }
    return await new BodyReader(incoming, options, stated).read();
}

function getStatedLength({ headers }: IncomingMessage): number | undefined {
    if (headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(headers["content-length"] ?? 0);
}

/** Reads one body. */
class BodyReader {
    readonly #incoming: IncomingMessage;
    readonly #options: BodyOptions;
    readonly #hold: ConnectionHold;
    /** Whether the largest size, or the stated one, is reserved. */
    #isReserved: boolean;
    /** Whether it waits for memory or for its turn. */
    #isWaiting = false;
    #isComplete = false;
    #isFinished = false;
    #body: Buffer;
    #size = 0;
    /** Pieces since the last turn. */
    #pieces = 0;
    #timer: NodeJS.Timeout | undefined;
    #finish: (result: Buffer | UnreadReason) => void = () => undefined;

    constructor(incoming: IncomingMessage, options: BodyOptions, stated: number | undefined) {
        this.#incoming = incoming;
        this.#options = options;
        this.#hold = new ConnectionHold(incoming.socket);
        this.#isReserved = stated !== undefined;
        this.#body = Buffer.allocUnsafeSlow(stated ?? 0);
        if (this.#body.length > smallBodyBytes) {
            this.#startTimer();
        }
    }

    read(): Promise<Buffer | UnreadReason> {
        const incoming = this.#incoming;
        return new Promise(resolve => {
            const onData = (piece: Buffer): void => this.#add(piece);
            const onEnd = (): void => {
                this.#isComplete = true;
                this.#finishIfComplete();
            };
            // The caller disconnected before its request was complete, or took too long. No answer can be sent.
            const onGone = (): void => {
                if (!this.#isComplete) {
                    this.#finish("gone");
                }
            };
            this.#finish = result => {
                incoming.removeListener("data", onData);
                incoming.removeListener("end", onEnd);
                incoming.removeListener("close", onGone);
                this.#finish = () => undefined;
                this.#end(result);
                resolve(result);
            };
            incoming.on("data", onData);
            incoming.once("end", onEnd);
            incoming.on("error", onGone);
            incoming.once("close", onGone);
            if (incoming.destroyed) {
                onGone();
            }
        });
    }

    #end(result: Buffer | UnreadReason): void {
        this.#isFinished = true;
        clearTimeout(this.#timer);
        if (typeof result === "string") {
            // The rest is not read: a connection that is closed after its answer would otherwise be read on until then.
            this.#hold.hold();
            this.#body = Buffer.alloc(0);
        }
        else {
            this.#hold.release();
        }
    }

    #add(piece: Buffer): void {
        if (this.#size + piece.length > this.#options.limit) {
            this.#finish("too-large");
            return;
        }
        this.#body = ensureRoom(this.#body, this.#size, piece.length, this.#options.limit);
        this.#size += piece.copy(this.#body, this.#size);
        this.#pieces += 1;
        if (!this.#options.memory.addProgress(this.#isReserved ? this.#size : this.#body.length)) {
            this.#finish("no-memory");
        }
        else if (!this.#isReserved && this.#size > smallBodyBytes) {
            this.#isReserved = true;
            void this.#pauseFor(() => this.#reserveLargest());
        }
        else if (this.#pieces >= maxPiecesPerTurn) {
            this.#pieces = 0;
            void this.#pauseFor(() => this.#options.turns.wait());
        }
    }

    async #reserveLargest(): Promise<void> {
        if (!await this.#options.memory.reserve(this.#options.limit, this.#options.wait)) {
            this.#finish("no-memory");
        }
        else if (!this.#isFinished) {
            this.#startTimer();
        }
    }

    /** Reads nothing more while it waits. What was read before still arrives. */
    async #pauseFor(wait: () => Promise<void>): Promise<void> {
        if (this.#isWaiting) {
            return;
        }
        this.#isWaiting = true;
        this.#hold.hold();
        await wait();
        this.#isWaiting = false;
        if (!this.#isFinished) {
            this.#hold.release();
            this.#finishIfComplete();
        }
    }

    #finishIfComplete(): void {
        if (this.#isComplete && !this.#isWaiting) {
            this.#finish(this.#body.subarray(0, this.#size));
        }
    }

    #startTimer(): void {
        this.#timer = setTimeout(() => this.#incoming.destroy(), this.#options.maxMilliseconds);
    }
}

/** Returns a buffer with room for further bytes, whose size at least doubles when it grows, up to the limit. */
function ensureRoom(buffer: Buffer, used: number, bytes: number, limit: number): Buffer {
    if (used + bytes <= buffer.length) {
        return buffer;
    }
    const larger = Buffer.allocUnsafeSlow(Math.min(limit, Math.max(used + bytes, 2 * buffer.length)));
    buffer.copy(larger, 0, 0, used);
    return larger;
}
