/**
 * Pauses between the parts of one streamed answer.
 */

/** Number of pauses whose median is one sample, and the minimum at the end of an answer. */
const windowPauses = 16;
const minPauses = 6;
/** Number of pauses after which the usual pause of an answer is known. */
export const usualPauseCount = minPauses;
/** Share of a pause at which the caller may still have been taking the previous part. */
const maxTakingShare = 0.2;

/** Receives what is learned of the pauses of an answer, in milliseconds. */
export interface PauseListener {
    /** Called with the median of each window of pauses, and of the last ones if they are enough. */
    readonly onSample: (milliseconds: number) => void;
    /** Called once with the median of the first pauses: those of one answer are alike. */
    readonly onUsual: (milliseconds: number) => void;
}

/**
 * Collects the pauses of an answer. A part that arrives while the caller still takes the previous one may have waited unread, and so
 * may all later ones; from there on the answer says nothing about its upstream.
 */
export class PauseWindow {
    readonly #listener: PauseListener;
    #pauses: number[] = [];
    #hasUsual = false;
    #arrivedAt: number | undefined;
    #isEnded = false;

    constructor(listener: PauseListener) {
        this.#listener = listener;
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
        if (!this.#hasUsual && this.#pauses.length >= usualPauseCount) {
            this.#hasUsual = true;
            this.#listener.onUsual(getMedian(this.#pauses));
        }
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
        const median = getMedian(this.#pauses);
        this.#pauses = [];
        this.#listener.onSample(median);
    }
}

function getMedian(pauses: readonly number[]): number {
    return pauses.toSorted((left, right) => left - right)[pauses.length >> 1];
}

/**
 * Passes on the parts of an answer and measures the pauses between them.
 * @param body - The parts.
 * @param getNow - Returns the monotonic time.
 * @param listener - Receives what is learned.
 */
export async function* measurePauses(
    body: AsyncIterable<Buffer>,
    getNow: () => number,
    listener: PauseListener,
): AsyncGenerator<Buffer, void, void> {
    const window = new PauseWindow(listener);
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
