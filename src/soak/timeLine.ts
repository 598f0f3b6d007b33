/**
 * The time line of a soak: the actions of the soak and the events of the processes in chronological order.
 */
import type { EventLine } from "../events/index.js";
import type { SoakEvent } from "./faultInjector.js";

const uuidPattern = /[0-9a-f]{8}-[0-9a-f-]{27}/g;

/**
 * Formats a time line. Omits the events of requests that no violation names.
 * @param soakEvents - The actions of the soak.
 * @param events - The events of all processes.
 * @param violations - Descriptions of the violated invariants.
 */
export function formatTimeLine(
    soakEvents: readonly SoakEvent[],
    events: readonly EventLine[],
    violations: readonly string[],
): readonly string[] {
    const namedRequests = new Set(violations.join(" ").match(uuidPattern) ?? []);
    const lines = soakEvents.map(({ time, text }) => ({ time, text: `soak           ${text}` }));
    for (const event of events) {
        const { time, process, name, request } = event;
        if (request === undefined || namedRequests.has(String(request))) {
            lines.push({ time, text: `${process.padEnd(14)} ${name} ${formatFields(event)}` });
        }
    }
    lines.sort((left, right) => left.time - right.time);
    return lines.map(({ time, text }) => `${new Date(time).toISOString().slice(11, 23)} ${text}`);
}

function formatFields(event: EventLine): string {
    const omittedFields = ["event", "name", "level", "process", "time", "counter"];
    return Object.entries(event).filter(([key]) => !omittedFields.includes(key)).map(([key, value]) =>
        `${key}=${value}`
    )
        .join(" ");
}
