/**
 * Writes events through `debug`, for people or as one JSON line each.
 *
 * Each line carries a Lamport counter beside the wall clock: processes' clocks differ, and a time line over all
 * processes must still show a cause before its effect.
 */
import debug from "debug";
import type { Clock } from "../common/index.js";
import type { EventDefinition } from "./catalogue.js";

/** Facts that an event carries. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** One written event. */
export interface EventLine extends EventFields {
    readonly event: number;
    readonly name: string;
    readonly level: string;
    /** Which process wrote it. */
    readonly process: string;
    /** Wall-clock milliseconds of that process. */
    readonly time: number;
    /** Lamport counter of that process. */
    readonly counter: number;
}

/** Options of a journal. */
export interface JournalOptions {
    /** Name of the process, unique in the site. */
    readonly process: string;
    readonly clock: Clock;
    /** Takes each finished event; by default `debug` under `rattanlock:<level>`. */
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

    /** Returns the Lamport counter, to be sent along with a message. */
    getCounter(): number {
        return this.#counter;
    }

    /**
     * Takes in the counter that came with a message, so that later events here sort after the sender's.
     * @param counter - The sender's counter.
     */
    observe(counter: number): void {
        this.#counter = Math.max(this.#counter, counter);
    }

    /**
     * Writes an event.
     * @param definition - The entry of the catalogue.
     * @param fields - The facts. `request` and `rollout` are what a time line is selected by.
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
