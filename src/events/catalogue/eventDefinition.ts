/**
 * The definition of an event.
 */

/** Represents the severity of an event for an operator. */
export type EventLevel = "info" | "warning" | "error";

/** Represents the definition of an event. */
export interface EventDefinition {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    /** The description for docs/EVENTS.md. */
    readonly description: string;
}

/** Defines an event. */
export function define(number: number, name: string, level: EventLevel, description: string): EventDefinition {
    return { number, name, level, description };
}
