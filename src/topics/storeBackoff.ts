/**
 * Spacing of a node's calls to a store that does not answer it.
 *
 * Each topic of each node would otherwise ask the store several times a second during an outage. The store's limit is shared by all
 * nodes and its calls are billed, refused ones too, and a node learns nothing more from a second topic.
 */
import type { Result } from "neverthrow";
import type { Clock, Failure } from "../common/index.js";
import type { KeyedTopicReader, TopicPage } from "./keyedTopic.js";

const initialMilliseconds = 400;
/** Maximum for most nodes. The others read through the first node that the store answers again. */
const maxMilliseconds = 2_400;

/** Options of `StoreBackoff`. */
export interface StoreBackoffOptions {
    readonly clock: Clock;
    /** Returns whether this node usually reads the store for others, and should notice its return first. */
    readonly isUsualReader: () => boolean;
}

/** Decides when this node may call the store again. One instance serves all topics. */
export class StoreBackoff {
    readonly #options: StoreBackoffOptions;
    #failures = 0;
    #waitsUntil = Number.NEGATIVE_INFINITY;

    constructor(options: StoreBackoffOptions) {
        this.#options = options;
    }

    /** Returns whether this node should read from peers for now. */
    isWaiting(): boolean {
        return this.#options.clock.monotonic() < this.#waitsUntil;
    }

    /** Returns a reader that records whether the store answers. */
    observe(reader: KeyedTopicReader): KeyedTopicReader {
        return {
            source: reader.source,
            readAll: async () => this.#record(await reader.readAll()),
            readSince: async (from, waitMilliseconds) => this.#record(await reader.readSince(from, waitMilliseconds)),
        };
    }

    #record(result: Result<TopicPage, Failure>): Result<TopicPage, Failure> {
        // A topic whose position has expired is an answer of the store.
        if (result.isOk() || result.error.kind === "gone") {
            this.#failures = 0;
            this.#waitsUntil = Number.NEGATIVE_INFINITY;
        }
        else if (!this.isWaiting()) {
            // Calls of other topics that were in flight fail with the first one and are the same failure.
            this.#failures += 1;
            this.#waitsUntil = this.#options.clock.monotonic() + this.#getMilliseconds();
        }
        return result;
    }

    #getMilliseconds(): number {
        if (this.#options.isUsualReader()) {
            return initialMilliseconds;
        }
        return Math.min(maxMilliseconds, initialMilliseconds * 2 ** Math.min(10, this.#failures - 1));
    }
}
