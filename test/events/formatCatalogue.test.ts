import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { type EventDefinition, events, formatCatalogue } from "../../src/events/index.js";

describe("formatCatalogue", () => {
    it("returns the content of docs/EVENTS.md", () => {
        expect(readFileSync("docs/EVENTS.md", "utf8")).toEqual(formatCatalogue());
    });

    it("assigns each number and each name to only one event", () => {
        const definitions: EventDefinition[] = Object.values(events);
        expect(new Set(definitions.map(({ number }) => number)).size).toEqual(definitions.length);
        expect(new Set(definitions.map(({ name }) => name)).size).toEqual(definitions.length);
    });
});
