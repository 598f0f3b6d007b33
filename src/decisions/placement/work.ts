/**
 * Lifetime of one request on one runner, from dispatch to end.
 */
import type { WorkResult } from "./placement.js";

/** Callbacks for the events of a request on a runner. */
export interface WorkListener {
    readonly firstToken: (milliseconds: number) => void;
    readonly load: (header: string) => void;
    readonly finish: (result: WorkResult) => void;
}

/** Represents a request that was sent to a runner. */
export class Work {
    readonly #listener: WorkListener;
    #hasFirstToken = false;
    #isFinished = false;

    /** @internal */
    constructor(listener: WorkListener) {
        this.#listener = listener;
    }

    /**
     * Records the first token of the answer. Only the first call before the end has an effect.
     * @param milliseconds - Time from dispatch to the first token.
     */
    addFirstToken(milliseconds: number): void {
        if (this.#hasFirstToken || this.#isFinished) {
            return;
        }
        this.#hasFirstToken = true;
        this.#listener.firstToken(milliseconds);
    }

    /**
     * Records the `X-Load` header, as soon as it is received and before the answer ends.
     * @param header - `running/waiting/capacity`.
     */
    addLoad(header: string): void {
        this.#listener.load(header);
    }

    /** Records the end of the request. Further calls have no effect, since `error` and `close` events often occur together. */
    finish(result: WorkResult): void {
        if (this.#isFinished) {
            return;
        }
        this.#isFinished = true;
        this.#listener.finish(result);
    }
}
