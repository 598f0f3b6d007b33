/**
 * Reads INI text into sections and keys that know their line.
 *
 * Each line goes through the `ini` library on its own. Given a whole file it would turn dotted section names into
 * nested objects, merge repeated sections without a word and forget the lines, all of which a message needs.
 */
import { parse } from "ini";
import type { ValidationError } from "./validationError.js";

/** One `key = value` line. */
export interface SettingLine {
    readonly key: string;
    readonly value: string;
    /** From 1. */
    readonly line: number;
}

/** One `[section]` with its keys. */
export interface SettingSection {
    readonly name: string;
    /** From 1. */
    readonly line: number;
    readonly lines: ReadonlyMap<string, SettingLine>;
}

/** A settings file. */
export interface SettingDocument {
    readonly file: string;
    readonly sections: ReadonlyMap<string, SettingSection>;
    /** What is wrong with the text itself, whatever its keys mean. */
    readonly errors: readonly ValidationError[];
}

interface MutableSection {
    readonly name: string;
    readonly line: number;
    readonly lines: Map<string, SettingLine>;
}

/**
 * Reads INI text.
 * @param content - The text.
 * @param file - The file's name, for messages.
 */
export function parseDocument(content: string, file: string): SettingDocument {
    const sections = new Map<string, MutableSection>();
    const errors: ValidationError[] = [];
    let section: MutableSection | undefined;
    let line = 0;
    const addError = (key: string, message: string, remedy: string) => {
        errors.push({ file, line, section: section?.name ?? "", key, message, remedy });
    };
    for (const lineText of content.split(/\r\n|\r|\n/)) {
        line += 1;
        if (isBlank(lineText)) {
            continue;
        }
        const header = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/.exec(lineText);
        if (header) {
            const name = header[1].trim();
            const earlier = sections.get(name);
            section = { name, line, lines: new Map() };
            if (earlier !== undefined) {
                addError("", `The section already stands on line ${earlier.line}.`, "Join the two.");
            }
            sections.set(name, earlier ?? section);
            continue;
        }
        const setting = parseLine(lineText, line);
        if (setting === undefined) {
            addError("", "The line is no section, key or comment.", "Write key = value, [section] or ; comment.");
        }
        else if (section === undefined) {
            addError(setting.key, "The key stands before any section.", "Put it below a [section] line.");
        }
        else if (section.lines.has(setting.key)) {
            const earlierLine = section.lines.get(setting.key)?.line;
            addError(setting.key, `The key already stands on line ${earlierLine}.`, "Keep one of the two.");
        }
        else {
            section.lines.set(setting.key, setting);
        }
    }
    return { file, sections, errors };
}

function isBlank(lineText: string): boolean {
    return /^\s*([;#].*)?$/.test(lineText);
}

function parseLine(lineText: string, line: number): SettingLine | undefined {
    if (!/^\s*[^=\s[][^=]*=/.test(lineText)) {
        return undefined;
    }
    for (const [key, value] of Object.entries(parse(lineText))) {
        return { key, value: String(value), line };
    }
    return undefined;
}
