import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { treeSchema } from "../../src/configuration/index.js";
import { entrySchema, formatReference, ledgerSchema, siteSchema } from "../../src/settings/index.js";

const schemas = [treeSchema, entrySchema, ledgerSchema, siteSchema];

describe("formatReference", () => {
    it("returns the content of docs/SETTINGS.md", () => {
        expect(readFileSync("docs/SETTINGS.md", "utf8")).toEqual(formatReference(schemas));
    });

    it("contains only examples and defaults that pass validation", () => {
        for (const schema of schemas) {
            for (const section of schema.sections) {
                for (const [name, key] of Object.entries(section.keys)) {
                    const texts = name === "keys" ? [key.defaultText] : [key.defaultText, key.example];
                    for (const text of texts) {
                        expect([name, text, text === undefined || key.parse(text).isOk()])
                            .toEqual([name, text, true]);
                    }
                }
            }
        }
    });
});
