/**
 * Keyed topics of the platform's store, which retain the newest record of each key.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";

/** The newest known record of a key. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined when the key was removed. */
    readonly value: Buffer | undefined;
    /** Grows with each record of the topic. */
    readonly position: number;
}

/** Records of a topic, and the time at which they were confirmed. */
export interface TopicPage {
    readonly records: readonly KeyedRecord[];
    /** Whether the records are the newest ones of all keys, so that missing keys were removed. */
    readonly isComplete: boolean;
    /** The position from which to continue reading. */
    readonly endPosition: number;
    /** Monotonic milliseconds at which the store held nothing newer. This is a lower bound. */
    readonly confirmedAt: number;
}

/** Reads one topic, from the store or through a peer that follows it. */
export interface KeyedTopicReader {
    /** Where records are read from. When a peer fails, another peer or the store may still answer. */
    readonly source: "store" | "peer";
    /** Reads the newest record of every key. */
    readonly readAll: () => Promise<Result<TopicPage, Failure>>;
    /**
     * Waits for records at or after a position. A failure of the kind `gone` requires a call of `readAll`.
     * @param from - The first position to read.
     * @param waitMilliseconds - How long to wait for a record before returning an empty page.
     */
    readonly readSince: (from: number, waitMilliseconds: number) => Promise<Result<TopicPage, Failure>>;
}
