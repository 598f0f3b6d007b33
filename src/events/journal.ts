/**
 * Writes events through `debug`, as one JSON line each, or to a given function.
 *
 * Each line contains a Lamport counter in addition to the wall-clock time. The processes' clocks differ, and a time line
 * over all processes must still show a cause before its effect.
 */
import debug from "debug";
import type { Clock } from "../common/index.js";
import type { EventDefinition } from "./catalogue/index.js";

/** Represents the fields of an event. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Represents one written event. */
export interface EventLine extends EventFields {
    readonly event: number;
    readonly name: string;
    readonly level: string;
    /** Name of the process that wrote the event. */
    readonly process: string;
    /** Wall-clock time of that process, in milliseconds. */
    readonly time: number;
    /** Lamport counter of that process. */
    readonly counter: number;
}

/** Options of a journal. */
export interface JournalOptions {
    /** Name of the process, unique in the site. */
    readonly process: string;
    readonly clock: Clock;
    /** Receives each event; by default, events are written through `debug` under `rattanlock:<level>`. */
    readonly write?: (line: EventLine) => void;
}

/** Writes the events of one process. */
export class Journal {
    readonly #process: string;
    readonly #clock: Clock;
    readonly #write: (line: EventLine) => void;
    #counter = 0;

    constructor(options: JournalOptions) {
        this.#process = options.process;
        this.#clock = options.clock;
        this.#write = options.write ?? createDebugWriter();
    }

    /** Returns the Lamport counter, to be sent with a message. */
    getCounter(): number {
        return this.#counter;
    }

    /**
     * Merges the counter of a received message, so that later events of this process sort after the sender's events.
     * @param counter - The sender's counter.
     */
    observe(counter: number): void {
        this.#counter = Math.max(this.#counter, counter);
    }

    /**
     * Writes an event.
     * @param definition - The definition of the event in the catalogue.
     * @param fields - The fields. Time lines are selected by `request` and `rollout`.
     */
    write(definition: EventDefinition, fields: EventFields = {}): void {
        this.#counter += 1;
        this.#write({
            event: definition.number,
            name: definition.name,
            level: definition.level,
            process: this.#process,
            time: this.#clock.wall(),
            counter: this.#counter,
            ...fields,
        });
    }
}

/** Creates a function that writes events through `debug`, under `rattanlock:<level>`. */
export function createDebugWriter(): (line: EventLine) => void {
    const writers = new Map<string, debug.Debugger>();
    return line => {
        let writer = writers.get(line.level);
        if (writer === undefined) {
            writer = debug(`rattanlock:${line.level}`);
            writers.set(line.level, writer);
        }
        if (writer.enabled) {
            writer(JSON.stringify(line));
        }
    };
}
