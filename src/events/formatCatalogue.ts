/**
 * Formats the catalogue as docs/EVENTS.md.
 */
import { type EventDefinition, events } from "./catalogue/index.js";

const header = `# Events

Every event that a rattanlock process can write. \`DEBUG=rattanlock:*\` shows all of them, one JSON line each, on the
standard error; \`DEBUG=rattanlock:warning,rattanlock:error\` shows those that an operator should look at. Each line contains
\`event\`, \`name\`, \`level\`, \`process\`, \`time\` (wall-clock milliseconds), \`counter\` (a Lamport counter) and the fields of the
event. \`rattanlock timeline\` orders the events of all entries about one request or roll-out.

This page is generated from src/events/catalogue by \`node scripts/generateEvents.mjs\`; a test compares the two.

| number | name | level | meaning |
| ---: | --- | --- | --- |
`;

/** Returns the text of docs/EVENTS.md. */
export function formatCatalogue(): string {
    const definitions: EventDefinition[] = Object.values(events);
    definitions.sort((left, right) => left.number - right.number);
    let text = header;
    for (const { number, name, level, description } of definitions) {
        text += `| ${number} | ${name} | ${level} | ${description} |\n`;
    }
    return text;
}
