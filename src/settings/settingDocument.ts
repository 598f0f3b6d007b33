/**
 * Parses INI text into sections and keys with their line numbers.
 *
 * Each line is passed to the `ini` library separately. Given a whole file, the library would convert dotted section names
 * to nested objects, merge repeated sections without an error, and discard the line numbers. Error messages need the
 * names, the repetitions and the lines.
 */
import { parse } from "ini";
import type { ValidationError } from "./validationError.js";

/** Represents one `key = value` line. */
export interface SettingLine {
    readonly key: string;
    readonly value: string;
    /** Line number, starting at 1. */
    readonly line: number;
}

/** Represents one `[section]` with its keys. */
export interface SettingSection {
    readonly name: string;
    /** Line number, starting at 1. */
    readonly line: number;
    readonly lines: ReadonlyMap<string, SettingLine>;
}

/** Represents a parsed settings file. */
export interface SettingDocument {
    readonly file: string;
    readonly sections: ReadonlyMap<string, SettingSection>;
    /** Syntax errors, independent of the meaning of the keys. */
    readonly errors: readonly ValidationError[];
}

interface MutableSection {
    readonly name: string;
    readonly line: number;
    readonly lines: Map<string, SettingLine>;
}

/**
 * Parses INI text.
 * @param content - The text.
 * @param file - The file's name, used in error messages.
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
                addError("", `The section already exists on line ${earlier.line}.`, "Merge the two sections.");
            }
            sections.set(name, earlier ?? section);
            continue;
        }
        const setting = parseLine(lineText, line);
        if (setting === undefined) {
            addError("", "The line is not a section, key or comment.", "Write key = value, [section] or ; comment.");
        }
        else if (section === undefined) {
            addError(setting.key, "The key is set before any section.", "Move it below a [section] line.");
        }
        else if (section.lines.has(setting.key)) {
            const earlierLine = section.lines.get(setting.key)?.line;
            addError(setting.key, `The key is already set on line ${earlierLine}.`, "Remove one of the two.");
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
