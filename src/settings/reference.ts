/**
 * Formats schemas as the settings reference, docs/SETTINGS.md.
 */
import type { SettingKey } from "./settingKey.js";
import type { SectionSchema, SettingSchema } from "./settingSchema.js";

/**
 * Formats schemas as Markdown.
 * @param schemas - The schemas, in the order of the page.
 */
export function formatReference(schemas: readonly SettingSchema[]): string {
    const parts = [
        "# Settings reference",
        "Generated from the schemas by `npm run build && node scripts/generateSettings.mjs`; a test compares it with them. "
        + "Do not edit it manually.",
    ];
    for (const schema of schemas) {
        parts.push(`## ${schema.title}`, schema.description);
        for (const section of schema.sections) {
            parts.push(...formatSection(section));
        }
    }
    return `${parts.join("\n\n")}\n`;
}

function formatSection(section: SectionSchema): readonly string[] {
    const rows = Object.entries(section.keys).map(([name, key]) => formatRow(name, key));
    const header = ["| key | value | default | meaning |", "| --- | --- | --- | --- |"];
    return [`### \`[${section.title}]\``, section.description, [...header, ...rows].join("\n")];
}

function formatRow(name: string, key: SettingKey<unknown>): string {
    const description = `${key.description} Example: \`${key.example}\``;
    return `| \`${name}\` | ${key.type} | ${formatDefault(key)} | ${description.replaceAll("|", "\\|")} |`;
}

function formatDefault(key: SettingKey<unknown>): string {
    if (key.isRequired) {
        return "required";
    }
    if (key.defaultText === undefined) {
        return "none";
    }
    return key.defaultText === "" ? "empty" : `\`${key.defaultText}\``;
}
