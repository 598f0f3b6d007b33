/**
 * Topics of the platform's store whose newest record for each key is kept.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";

/** The newest known record of a key. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined when the key was removed. */
    readonly value: Buffer | undefined;
    readonly offset: number;
}

/** Records of a topic, and how old the answer is. */
export interface TopicPage {
    readonly records: readonly KeyedRecord[];
    /** Whether the records are the newest of every key, so that keys that are missing were removed. */
    readonly isComplete: boolean;
    /** The offset to read on from. */
    readonly endOffset: number;
    /** Monotonic milliseconds at which nothing newer was in the store, at least. */
    readonly confirmedAt: number;
}

/** Reads one topic, from the store or through a peer that reads it. */
export interface KeyedTopicReader {
    /** Where it reads: when a peer fails, another peer or the store may still do. */
    readonly source: "store" | "peer";
    /** Reads the newest record of every key. */
    readonly readAll: () => Promise<Result<TopicPage, Failure>>;
    /**
     * Waits for records at or after an offset. A failure of the kind `gone` asks for `readAll`.
     * @param from - The offset.
     * @param waitMilliseconds - How long to wait before answering with no records.
     */
    readonly readSince: (from: number, waitMilliseconds: number) => Promise<Result<TopicPage, Failure>>;
}
