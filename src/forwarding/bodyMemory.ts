/**
 * Bounds the memory that the bodies of callers' requests take.
 *
 * The load it answers: large bodies while upstreams read slowly. Each is held until its answer ends, and without a bound the process
 * exceeds its memory limit and ends with all of its requests.
 */

/** Bodies up to this size never wait: they are most requests, and a few large ones must not delay them. */
export const smallBodyBytes = 64 * 1024;

/** Options of `BodyMemory`. */
export interface BodyMemoryOptions {
    /** Returns the bytes that all bodies may take, apart from small ones. */
    readonly getMaxBytes: () => number;
}

/** How long a body may wait for memory. */
export interface BodyWait {
    readonly maxMilliseconds: number;
    /** Aborted when the caller disconnects. */
    readonly disconnected: AbortSignal;
}

/** Memory that is reserved for one body. */
export interface BodyReservation {
    /**
     * Waits until there is memory for the body. Meanwhile nothing of it should be read, so that its caller's own flow control waits.
     * @param bytes - Size of the body, or the largest possible one while its size is unknown.
     * @param wait - How long to wait.
     * @returns Whether the memory is reserved.
     */
    reserve(bytes: number, wait: BodyWait): Promise<boolean>;
    /** Gives back what a body does not take, whose size is known once it is read. */
    shrink(bytes: number): void;
    /** Gives all memory back. Further calls do nothing. */
    release(): void;
}

interface WaitingBody {
    readonly bytes: number;
    readonly admit: () => void;
}

/** Reserves memory for bodies before they are read, in the order of their requests. */
export class BodyMemory {
    readonly #options: BodyMemoryOptions;
    /** Bodies whose requests are not read on, the longest waiting first. */
    readonly #waiting = new Set<WaitingBody>();
    /** Bytes of the bodies that are not small. */
    #reservedBytes = 0;

    constructor(options: BodyMemoryOptions) {
        this.#options = options;
    }

    /** Returns the bytes that are reserved. */
    getReservedBytes(): number {
        return this.#reservedBytes;
    }

    /** Returns the number of bodies that wait for memory. */
    countWaiting(): number {
        return this.#waiting.size;
    }

    /** Adds a body, for which nothing is reserved yet. */
    add(): BodyReservation {
        let reserved = 0;
        const shrink = (bytes: number): void => {
            const freed = Math.max(0, reserved - bytes);
            reserved -= freed;
            this.#free(freed);
        };
        return {
            reserve: async (bytes, wait) => {
                const isAdmitted = bytes <= smallBodyBytes || await this.#admit(bytes, wait);
                reserved = isAdmitted && bytes > smallBodyBytes ? bytes : 0;
                return isAdmitted;
            },
            shrink,
            release: () => shrink(0),
        };
    }

    async #admit(bytes: number, wait: BodyWait): Promise<boolean> {
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
            const timer = setTimeout(giveUp, maxMilliseconds);
            const waiting: WaitingBody = { bytes, admit: () => finish(true) };
            this.#waiting.add(waiting);
            disconnected.addEventListener("abort", giveUp, { once: true });
        });
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
