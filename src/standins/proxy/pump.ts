/**
 * Carries the bytes of one direction of a connection, through whatever faults are in force.
 */
import type { Socket } from "node:net";
import { systemClock } from "../../common/index.js";
import type { Direction, RouteFaults } from "./routeFaults.js";

/** Above this the sender is held back. */
const queuedBytesLimit = 1024 * 1024;

/** What a pump is made from. */
export interface PumpOptions {
    readonly direction: Direction;
    readonly from: Socket;
    readonly to: Socket;
    readonly getFaults: () => RouteFaults;
    /** Breaks the connection in both directions. */
    readonly breakConnection: () => void;
}

/** Bytes on their way, or the end of the connection after them. */
interface Parcel {
    readonly dueAt: number;
    readonly bytes: Buffer | undefined;
    readonly end: "none" | "close" | "break";
}

/** One direction of a connection. */
export class Pump {
    readonly #options: PumpOptions;
    #queue: Parcel[] = [];
    #queuedBytes = 0;
    #delivered = 0;
    /** What had arrived when faults last changed; the bytes after which to break are counted from there. */
    #deliveredBefore = 0;
    #lost = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: PumpOptions) {
        const { from, to } = options;
        this.#options = options;
        from.on("data", bytes => this.#add("none", bytes));
        from.on("end", () => this.#add("close"));
        from.on("error", () => this.#add("break"));
        from.on("close", hadError => this.#add(hadError ? "break" : "close"));
        to.on("drain", () => this.deliver());
    }

    /** Returns how many bytes arrived. */
    getDelivered(): number {
        return this.#delivered;
    }

    /** Returns whether bytes were dropped. Such a connection can't go on once the fault is lifted. */
    hasLost(): boolean {
        return this.#lost;
    }

    /** Takes up changed faults. */
    applyFaults(): void {
        this.#deliveredBefore = this.#delivered;
        this.deliver();
    }

    /** Delivers what is due. */
    deliver(): void {
        clearTimeout(this.#timer);
        const { to, from, getFaults } = this.#options;
        while (this.#queue.length > 0 && !getFaults().freeze && !to.writableNeedDrain) {
            const [parcel] = this.#queue;
            const wait = parcel.dueAt - systemClock.monotonic();
            if (wait > 0) {
                this.#timer = setTimeout(() => this.deliver(), wait);
                return;
            }
            this.#queue.shift();
            this.#hand(parcel);
        }
        if (this.#queuedBytes < queuedBytesLimit) {
            from.resume();
        }
    }

    #add(end: Parcel["end"], bytes?: Buffer): void {
        const { delayMilliseconds, halfOpen, oneWay } = this.#options.getFaults();
        if (halfOpen || oneWay === this.#options.direction) {
            this.#lost = true;
            return;
        }
        this.#queue.push({ dueAt: systemClock.monotonic() + delayMilliseconds, bytes, end });
        this.#queuedBytes += bytes?.length ?? 0;
        if (this.#queuedBytes >= queuedBytesLimit) {
            this.#options.from.pause();
        }
        this.deliver();
    }

    #hand(parcel: Parcel): void {
        const { to, breakConnection } = this.#options;
        if (parcel.end === "break") {
            breakConnection();
            return;
        }
        if (parcel.end === "close") {
            to.end();
            return;
        }
        const bytes = parcel.bytes ?? Buffer.alloc(0);
        this.#queuedBytes -= bytes.length;
        const part = bytes.subarray(0, this.#getAllowance());
        this.#delivered += part.length;
        if (part.length < bytes.length) {
            this.#queue = [];
            to.write(part, breakConnection);
            return;
        }
        to.write(part);
    }

    /** Returns how many bytes may still arrive before the connection is to break. */
    #getAllowance(): number {
        const { cutAfterBytes } = this.#options.getFaults();
        if (cutAfterBytes === 0 || this.#options.direction === "to-target") {
            return Number.MAX_SAFE_INTEGER;
        }
        return Math.max(0, cutAfterBytes - (this.#delivered - this.#deliveredBefore));
    }
}
