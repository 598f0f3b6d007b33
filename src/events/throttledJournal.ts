/**
 * Writes warnings about input from other systems with a bounded volume.
 */
import type { Clock } from "../common/index.js";
import type { EventDefinition } from "./catalogue/index.js";
import type { EventFields, Journal } from "./journal.js";

/** Time for which further lines of an event about the same subject are left out. */
const intervalMilliseconds = 10_000;
/** Maximum number of lines of one event in that time, whatever their subjects are. */
const maxLinesPerInterval = 30;
/** Maximum length of a text that another system has written. */
const maxTextLength = 200;

/** The lines of one event in the current interval. */
interface EventInterval {
    readonly startedAt: number;
    /** Subjects that have a line. */
    readonly subjects: Set<string>;
    leftOut: number;
}

/** Options of `ThrottledJournal`. */
export interface ThrottledJournalOptions {
    readonly clock: Clock;
    readonly journal: Journal;
}

/**
 * Writes at most one line of an event about one subject in an interval. A peer that sends something unreadable with every answer
 * would otherwise fill the log, and its reader would miss the other lines.
 */
export class ThrottledJournal {
    readonly #options: ThrottledJournalOptions;
    readonly #intervals = new Map<EventDefinition, EventInterval>();

    constructor(options: ThrottledJournalOptions) {
        this.#options = options;
    }

    /**
     * Writes an event unless its subject had a line just now. `leftOut` tells how many lines of the event were left out in the interval
     * before. A line with nothing else tells it for another event whose interval has ended without a further line.
     * @param definition - The event.
     * @param subject - What the line is about, such as the identifier of an upstream.
     * @param fields - The fields. Long texts are cut.
     */
    write(definition: EventDefinition, subject: string, fields: EventFields): void {
        this.#reportOthers(definition);
        const { interval, leftOut } = this.#getInterval(definition);
        if (interval.subjects.has(subject) || interval.subjects.size >= maxLinesPerInterval) {
            interval.leftOut += 1;
            return;
        }
        interval.subjects.add(subject);
        this.#options.journal.write(definition, { ...cutTexts(fields), leftOut: leftOut || undefined });
    }

    #reportOthers(current: EventDefinition): void {
        const now = this.#options.clock.monotonic();
        for (const [definition, interval] of this.#intervals) {
            const { startedAt, leftOut } = interval;
            if (definition !== current && leftOut > 0 && now - startedAt >= intervalMilliseconds) {
                interval.leftOut = 0;
                this.#options.journal.write(definition, { leftOut });
            }
        }
    }

    /** Returns the current interval of an event, and the lines left out in the one before if a new one begins. */
    #getInterval(definition: EventDefinition): { readonly interval: EventInterval; readonly leftOut: number; } {
        const now = this.#options.clock.monotonic();
        const known = this.#intervals.get(definition);
        if (known !== undefined && now - known.startedAt < intervalMilliseconds) {
            return { interval: known, leftOut: 0 };
        }
        const interval: EventInterval = { startedAt: now, subjects: new Set(), leftOut: 0 };
        this.#intervals.set(definition, interval);
        return { interval, leftOut: known?.leftOut ?? 0 };
    }
}

function cutTexts(fields: EventFields): EventFields {
    const cut: Record<string, EventFields[string]> = {};
    for (const [name, value] of Object.entries(fields)) {
        cut[name] = typeof value === "string" ? value.slice(0, maxTextLength) : value;
    }
    return cut;
}
