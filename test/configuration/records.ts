/**
 * Creates entries of the `config` stream for tests.
 */
import type { Change } from "../../src/configuration/index.js";
import type { LogEntry, LogRecord } from "../../src/log/index.js";

/** Changes that create a small valid tree. */
export const smallTree: readonly Change[] = [
    { section: "version.plan@1", key: "status", value: "serving" },
    { section: "version.plan@1", key: "input_price", value: "2" },
    { section: "version.plan@1", key: "output_price", value: "8" },
    { section: "version.tag@1", key: "status", value: "serving" },
    { section: "version.tag@1", key: "input_price", value: "0.1" },
    { section: "version.tag@1", key: "output_price", value: "0.4" },
    { section: "workspace.bench", key: "priority", value: "2" },
];

export interface PublicationOptions {
    readonly id?: string;
    readonly author?: string;
    readonly basedOn?: number;
    readonly format?: number;
}

let counter = 0;

/** Creates a `publish` record. */
export function createPublication(changes: readonly Change[], options: PublicationOptions = {}): LogRecord {
    counter += 1;
    const author = options.author ?? "anna";
    return {
        id: options.id ?? `record-${counter}`,
        kind: "publish",
        format: options.format ?? 1,
        writer: "test",
        body: { author, reason: "because", basedOn: options.basedOn ?? 0, changes },
    };
}

/** Wraps records as log entries, with offsets from the given one on. */
export function createLogEntries(records: readonly LogRecord[], from = 0): readonly LogEntry[] {
    return records.map((record, index) => ({ offset: from + index, time: 1_000 + index, record }));
}
