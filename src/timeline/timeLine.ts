/**
 * Merges the events of several processes into one order, in which a cause precedes its effect.
 *
 * The processes' clocks differ, so wall-clock times alone could show an answer before its request. Each process counts
 * its events and merges the counter of every received message (a Lamport clock), so the counters order cause and effect.
 * Events with equal counters are ordered by wall-clock time.
 */
import type { EventLine } from "../events/index.js";

/** Represents an event on a time line. */
export interface TimeLineEvent {
    readonly line: EventLine;
    /** Milliseconds since the first event; never less than the value of a preceding event on the time line. */
    readonly shownMilliseconds: number;
}

/**
 * Merges events into one time line.
 * @param lines - Events of any processes in any order; duplicates are removed.
 */
export function mergeEvents(lines: Iterable<EventLine>): readonly TimeLineEvent[] {
    const ordered = removeDuplicates(lines).sort(compareEvents);
    const merged: TimeLineEvent[] = [];
    const start = ordered[0]?.time ?? 0;
    let shownMilliseconds = 0;
    for (const line of ordered) {
        shownMilliseconds = Math.max(shownMilliseconds, line.time - start);
        merged.push({ line, shownMilliseconds });
    }
    return merged;
}

/**
 * Formats a time line as text, with one event per line.
 * @param events - The time line.
 */
export function formatTimeLine(events: readonly TimeLineEvent[]): string {
    const width = getMaxLength(events.map(({ line }) => line.process));
    const rows: string[] = [];
    for (const { line, shownMilliseconds } of events) {
        const time = `+${shownMilliseconds.toFixed(0)} ms`.padStart(10);
        rows.push(
            `${time}  ${line.process.padEnd(width)}  ${line.event} ${line.name}  ${formatFields(line)}`.trimEnd(),
        );
    }
    return rows.join("\n");
}

/**
 * Formats the fields of an event as `key=value`.
 * @param line - The event.
 */
export function formatFields(line: EventLine): string {
    const fields: string[] = [];
    for (const [key, value] of Object.entries(line)) {
        if (!commonFields.has(key) && value !== undefined) {
            fields.push(`${key}=${String(value)}`);
        }
    }
    return fields.join(" ");
}

const commonFields: ReadonlySet<string> = new Set(["event", "name", "level", "process", "time", "counter"]);

function removeDuplicates(lines: Iterable<EventLine>): EventLine[] {
    const uniqueLines = new Map<string, EventLine>();
    for (const line of lines) {
        uniqueLines.set(`${line.process}/${line.counter}/${line.event}`, line);
    }
    return [...uniqueLines.values()];
}

function compareEvents(left: EventLine, right: EventLine): number {
    if (left.counter !== right.counter) {
        return left.counter - right.counter;
    }
    return left.time - right.time || (left.process < right.process ? -1 : 1);
}

function getMaxLength(texts: readonly string[]): number {
    let maxLength = 0;
    for (const text of texts) {
        maxLength = Math.max(maxLength, text.length);
    }
    return maxLength;
}
