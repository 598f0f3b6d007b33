/**
 * One request on one runner, from dispatch to end.
 */
import type { WorkResult } from "./placement.js";

/** What is done with the news of a piece of work. */
export interface WorkListener {
    readonly firstToken: (milliseconds: number) => void;
    readonly load: (header: string) => void;
    readonly finish: (end: WorkResult) => void;
}

/** A request that was sent to a runner. */
export class Work {
    readonly #listener: WorkListener;
    #hasFirstToken = false;
    #isFinished = false;

    /** @internal */
    constructor(listener: WorkListener) {
        this.#listener = listener;
    }

    /**
     * Notes the first token of the answer.
     * @param milliseconds - From dispatch to the first token.
     */
    addFirstToken(milliseconds: number): void {
        if (this.#hasFirstToken || this.#isFinished) {
            return;
        }
        this.#hasFirstToken = true;
        this.#listener.firstToken(milliseconds);
    }

    /**
     * Notes the `X-Load` header as soon as it arrives, before the answer ends.
     * @param header - `running/waiting/capacity`.
     */
    addLoad(header: string): void {
        this.#listener.load(header);
    }

    /** Notes the end of the work. A second call changes nothing: error and close often arrive together. */
    finish(end: WorkResult): void {
        if (this.#isFinished) {
            return;
        }
        this.#isFinished = true;
        this.#listener.finish(end);
    }
}
