/**
 * The time line of a soak: what was done to the site and what its processes wrote, in order.
 */
import type { EventLine } from "../events/index.js";
import type { SoakEvent } from "./faultInjector.js";

const uuidPattern = /[0-9a-f]{8}-[0-9a-f-]{27}/g;

/**
 * Formats a time line. Of single requests it shows those that a fault names.
 * @param soakEvents - What the soak did.
 * @param events - The events of all processes.
 * @param violations - What broke.
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
