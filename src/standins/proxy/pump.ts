/**
 * Forwards the bytes of one direction of a connection and applies the faults in force.
 */
import type { Socket } from "node:net";
import { systemClock } from "../../common/index.js";
import type { Direction, RouteFaults } from "./routeFaults.js";

/** From this number of queued bytes on, reading from the sender is paused. */
const maxQueuedBytes = 1024 * 1024;

/** Options of a pump. */
export interface PumpOptions {
    readonly direction: Direction;
    readonly from: Socket;
    readonly to: Socket;
    readonly getFaults: () => RouteFaults;
    /** Breaks the connection in both directions. */
    readonly breakConnection: () => void;
}

/** Bytes to deliver, or the end of the connection after them. */
interface QueuedChunk {
    readonly dueAt: number;
    readonly bytes: Buffer | undefined;
    readonly end: "none" | "close" | "break";
}

/** Forwards one direction of a connection. */
export class Pump {
    readonly #options: PumpOptions;
    #queue: QueuedChunk[] = [];
    #queuedBytes = 0;
    #deliveredBytes = 0;
    /** Bytes delivered when the faults last changed. `cutAfterBytes` is counted from there. */
    #deliveredBytesAtFaultChange = 0;
    #hasDroppedBytes = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: PumpOptions) {
        const { from, to } = options;
        this.#options = options;
        from.on("data", bytes => this.#enqueue("none", bytes));
        from.on("end", () => this.#enqueue("close"));
        from.on("error", () => this.#enqueue("break"));
        from.on("close", hadError => this.#enqueue(hadError ? "break" : "close"));
        to.on("drain", () => this.deliver());
    }

    /** Returns the number of delivered bytes. */
    getDeliveredBytes(): number {
        return this.#deliveredBytes;
    }

    /** Returns whether bytes were dropped. Such a connection can't continue after the fault is lifted. */
    hasDroppedBytes(): boolean {
        return this.#hasDroppedBytes;
    }

    /** Applies changed faults. */
    applyFaults(): void {
        this.#deliveredBytesAtFaultChange = this.#deliveredBytes;
        this.deliver();
    }

    /** Delivers the chunks that are due. */
    deliver(): void {
        clearTimeout(this.#timer);
        const { to, from, getFaults } = this.#options;
        while (this.#queue.length > 0 && !getFaults().freeze && !to.writableNeedDrain) {
            const [chunk] = this.#queue;
            const wait = chunk.dueAt - systemClock.monotonic();
            if (wait > 0) {
                this.#timer = setTimeout(() => this.deliver(), wait);
                return;
            }
            this.#queue.shift();
            this.#deliverChunk(chunk);
        }
        if (this.#queuedBytes < maxQueuedBytes) {
            from.resume();
        }
    }

    #enqueue(end: QueuedChunk["end"], bytes?: Buffer): void {
        const { delayMilliseconds, halfOpen, oneWay } = this.#options.getFaults();
        if (halfOpen || oneWay === this.#options.direction) {
            this.#hasDroppedBytes = true;
            return;
        }
        this.#queue.push({ dueAt: systemClock.monotonic() + delayMilliseconds, bytes, end });
        this.#queuedBytes += bytes?.length ?? 0;
        if (this.#queuedBytes >= maxQueuedBytes) {
            this.#options.from.pause();
        }
        this.deliver();
    }

    #deliverChunk(chunk: QueuedChunk): void {
        const { to, breakConnection } = this.#options;
        if (chunk.end === "break") {
            breakConnection();
            return;
        }
        if (chunk.end === "close") {
            to.end();
            return;
        }
        const bytes = chunk.bytes ?? Buffer.alloc(0);
        this.#queuedBytes -= bytes.length;
        const allowedBytes = bytes.subarray(0, this.#getRemainingBytes());
        this.#deliveredBytes += allowedBytes.length;
        if (allowedBytes.length < bytes.length) {
            this.#queue = [];
            to.write(allowedBytes, breakConnection);
            return;
        }
        to.write(allowedBytes);
    }

    /** Returns how many bytes may still be delivered before the connection breaks. */
    #getRemainingBytes(): number {
        const { cutAfterBytes } = this.#options.getFaults();
        if (cutAfterBytes === 0 || this.#options.direction === "to-target") {
            return Number.MAX_SAFE_INTEGER;
        }
        return Math.max(0, cutAfterBytes - (this.#deliveredBytes - this.#deliveredBytesAtFaultChange));
    }
}
