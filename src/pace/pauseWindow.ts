/**
 * Pauses between the parts of one streamed answer.
 */

/** Number of pauses whose median is one sample, and the minimum at the end of an answer. */
const windowPauses = 16;
const minPauses = 6;
/** Share of a pause at which the caller may still have been taking the previous part. */
const maxTakingShare = 0.2;

/**
 * Collects the pauses of an answer. A part that arrives while the caller still takes the previous one may have waited unread, and so
 * may all later ones; from there on the answer says nothing about its upstream.
 */
export class PauseWindow {
    readonly #onSample: (milliseconds: number) => void;
    #pauses: number[] = [];
    #arrivedAt: number | undefined;
    #isEnded = false;

    /** @param onSample - Receives medians of pauses, in milliseconds. */
    constructor(onSample: (milliseconds: number) => void) {
        this.#onSample = onSample;
    }

    /**
     * Adds the arrival of a part.
     * @param waitedSince - Monotonic time from which this node was ready for the part.
     * @param arrivedAt - Monotonic time of its arrival.
     */
    add(waitedSince: number, arrivedAt: number): void {
        const previousAt = this.#arrivedAt;
        this.#arrivedAt = arrivedAt;
        if (this.#isEnded || previousAt === undefined) {
            return;
        }
        const pause = arrivedAt - previousAt;
        if (waitedSince - previousAt > maxTakingShare * pause) {
            this.#isEnded = true;
            this.#pauses = [];
            return;
        }
        this.#pauses.push(pause);
        if (this.#pauses.length >= windowPauses) {
            this.#flush();
        }
    }

    /** Ends the answer. */
    end(): void {
        if (!this.#isEnded && this.#pauses.length >= minPauses) {
            this.#flush();
        }
        this.#isEnded = true;
    }

    #flush(): void {
        const sorted = this.#pauses.toSorted((left, right) => left - right);
        this.#pauses = [];
        this.#onSample(sorted[sorted.length >> 1]);
    }
}

/**
 * Passes on the parts of an answer and measures the pauses between them.
 * @param body - The parts.
 * @param getNow - Returns the monotonic time.
 * @param onSample - Receives medians of pauses, in milliseconds.
 */
export async function* measurePauses(
    body: AsyncIterable<Buffer>,
    getNow: () => number,
    onSample: (milliseconds: number) => void,
): AsyncGenerator<Buffer, void, void> {
    const window = new PauseWindow(onSample);
    let waitedSince = getNow();
    try {
        for await (const part of body) {
            window.add(waitedSince, getNow());
            yield part;
            waitedSince = getNow();
        }
    }
    finally {
        window.end();
    }
}
