/**
 * Bounds the memory that requests and their bodies take.
 *
 * The load it answers: large bodies while upstreams read slowly, many small ones at once, and callers that stop in the middle of theirs.
 * Each body is held until its answer ends, and without a bound the process exceeds its memory limit and ends with all of its requests.
 */
import type { Clock } from "../common/index.js";

/** Bodies up to this size never wait: they are most requests, and a few large ones must not delay them. */
export const smallBodyBytes = 64 * 1024;
/** Memory that a request takes beside its body, with the objects that serve it. */
const requestOverheadBytes = 8 * 1024;
/** Time without progress after which an incomplete body gives way to others when memory is short. */
const stalledMilliseconds = 2_000;

/** Options of `BodyMemory`. */
export interface BodyMemoryOptions {
    readonly clock: Clock;
    /** Returns the bytes that all bodies may take, apart from small ones. */
    readonly getMaxBytes: () => number;
    /** Returns the bytes that all requests with small bodies may take. */
    readonly getMaxSmallBytes: () => number;
}

/** How long a body may wait for memory. */
export interface BodyWait {
    readonly maxMilliseconds: number;
    /** Aborted when the caller disconnects. */
    readonly disconnected: AbortSignal;
}

/** Memory that is reserved for one request and its body. */
export interface BodyReservation {
    /**
     * Waits until there is memory for the body. Meanwhile nothing of it should be read, so that its caller's own flow control waits. A small
     * body does not wait.
     * @param bytes - Size of the body, or the largest possible one while its size is unknown.
     * @param wait - How long to wait.
     * @returns Whether the memory is reserved.
     */
    reserve(bytes: number, wait: BodyWait): Promise<boolean>;
    /**
     * Records that a part of the body has arrived.
     * @param bytes - What has arrived until now.
     * @returns Whether there is memory for it.
     */
    addProgress(bytes: number): boolean;
    /** Records that the body is complete. Gives back what it does not take. */
    complete(bytes: number): void;
    /** Gives all memory back. Further calls do nothing. */
    release(): void;
}

interface WaitingBody {
    readonly bytes: number;
    readonly admit: () => void;
}

/** A body of which something is held. */
interface HeldBody {
    /** Bytes of the memory for large bodies, or of that for small ones. */
    readonly bytes: { large: number; small: number; };
    isComplete: boolean;
    isReleased: boolean;
    /** Monotonic milliseconds. */
    lastProgressAt: number;
    readonly onGivenUp: () => void;
}

/** Reserves memory for bodies before they are read, in the order of their requests. */
export class BodyMemory {
    readonly #options: BodyMemoryOptions;
    /** Bodies whose requests are not read on, the longest waiting first. */
    readonly #waiting = new Set<WaitingBody>();
    /** Bodies that are not complete, the one with the oldest progress first. */
    readonly #incomplete = new Set<HeldBody>();
    /** Bytes of the bodies that are not small, and of the others with their requests. */
    #reservedBytes = 0;
    #smallBytes = 0;

    constructor(options: BodyMemoryOptions) {
        this.#options = options;
    }

    /** Returns the bytes that are reserved for bodies that are not small. */
    getReservedBytes(): number {
        return this.#reservedBytes;
    }

    /** Returns the bytes that requests with small bodies take. */
    getSmallBytes(): number {
        return this.#smallBytes;
    }

    /** Returns the number of bodies that wait for memory. */
    countWaiting(): number {
        return this.#waiting.size;
    }

    /**
     * Adds a request, of whose body nothing is reserved yet.
     * @param onGivenUp - Called when its incomplete body has to give way. The connection must then be closed.
     */
    add(onGivenUp: () => void = () => undefined): BodyReservation {
        const body: HeldBody = {
            bytes: { large: 0, small: requestOverheadBytes },
            isComplete: false,
            isReleased: false,
            lastProgressAt: this.#options.clock.monotonic(),
            onGivenUp,
        };
        this.#smallBytes += requestOverheadBytes;
        this.#incomplete.add(body);
        return {
            reserve: (bytes, wait) => this.#reserve(body, bytes, wait),
            addProgress: bytes => this.#addProgress(body, bytes),
            complete: bytes => this.#complete(body, bytes),
            release: () => this.#release(body),
        };
    }

    async #reserve(body: HeldBody, bytes: number, wait: BodyWait): Promise<boolean> {
        if (bytes <= smallBodyBytes) {
            return this.#growSmall(body, bytes);
        }
        if (!await this.#admit(bytes, wait)) {
            return false;
        }
        if (body.isReleased) {
            this.#free(bytes);
            return false;
        }
        body.bytes.large = bytes;
        this.#shrinkSmall(body, 0);
        return true;
    }

    #addProgress(body: HeldBody, bytes: number): boolean {
        body.lastProgressAt = this.#options.clock.monotonic();
        if (this.#incomplete.delete(body)) {
            this.#incomplete.add(body);
        }
        if (body.isReleased) {
            return false;
        }
        const isHeld = body.bytes.large > 0 || requestOverheadBytes + bytes <= body.bytes.small;
        return isHeld || this.#growSmall(body, bytes);
    }

    /** Takes memory for a small body. Where there is none, bodies give way that have not arrived for some time. */
    #growSmall(body: HeldBody, bytes: number): boolean {
        const added = Math.max(0, requestOverheadBytes + bytes - body.bytes.small);
        const fits = (): boolean => this.#smallBytes + added <= this.#options.getMaxSmallBytes();
        this.#giveUpStalled(fits, body);
        if (body.isReleased || !fits()) {
            return false;
        }
        body.bytes.small += added;
        this.#smallBytes += added;
        return true;
    }

    #shrinkSmall(body: HeldBody, bytes: number): void {
        const freed = Math.max(0, body.bytes.small - requestOverheadBytes - bytes);
        body.bytes.small -= freed;
        this.#smallBytes -= freed;
    }

    #complete(body: HeldBody, bytes: number): void {
        body.isComplete = true;
        this.#incomplete.delete(body);
        const freed = Math.max(0, body.bytes.large - bytes);
        body.bytes.large -= freed;
        this.#shrinkSmall(body, bytes);
        this.#free(freed);
    }

    #release(body: HeldBody): void {
        if (body.isReleased) {
            return;
        }
        body.isReleased = true;
        this.#incomplete.delete(body);
        this.#smallBytes -= body.bytes.small;
        this.#free(body.bytes.large);
    }

    async #admit(bytes: number, wait: BodyWait): Promise<boolean> {
        if (this.#waiting.size === 0) {
            this.#giveUpStalled(() => this.#fits(bytes));
        }
        if (this.#waiting.size > 0 || !this.#fits(bytes)) {
            return await this.#wait(bytes, wait);
        }
        this.#reservedBytes += bytes;
        return true;
    }

    #wait(bytes: number, { maxMilliseconds, disconnected }: BodyWait): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (isAdmitted: boolean): void => {
                clearTimeout(timer);
                disconnected.removeEventListener("abort", giveUp);
                this.#waiting.delete(waiting);
                resolve(isAdmitted);
            };
            const giveUp = (): void => {
                finish(false);
                this.#admitWaiting();
            };
            const timer = setTimeout(() => {
                this.#giveUpStalled(() => !this.#waiting.has(waiting));
                if (this.#waiting.has(waiting)) {
                    giveUp();
                }
            }, maxMilliseconds);
            const waiting: WaitingBody = { bytes, admit: () => finish(true) };
            this.#waiting.add(waiting);
            disconnected.addEventListener("abort", giveUp, { once: true });
        });
    }

    /** Gives up bodies that have not arrived for some time, until there is enough memory. */
    #giveUpStalled(isEnough: () => boolean, except?: HeldBody): void {
        const latest = this.#options.clock.monotonic() - stalledMilliseconds;
        for (const body of this.#incomplete) {
            if (isEnough() || body.lastProgressAt > latest) {
                return;
            }
            if (body !== except) {
                this.#release(body);
                body.onGivenUp();
            }
        }
    }

    /** A body that is larger than the whole memory for bodies is read when there is no other one. */
    #fits(bytes: number): boolean {
        return this.#reservedBytes === 0 || this.#reservedBytes + bytes <= this.#options.getMaxBytes();
    }

    #free(bytes: number): void {
        if (bytes > 0) {
            this.#reservedBytes -= bytes;
            this.#admitWaiting();
        }
    }

    #admitWaiting(): void {
        for (const waiting of this.#waiting) {
            if (!this.#fits(waiting.bytes)) {
                return;
            }
            this.#reservedBytes += waiting.bytes;
            waiting.admit();
        }
    }
}
