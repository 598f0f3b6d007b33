/**
 * Defines schemas of settings files, and the validation that reports all errors of a file at once.
 */
import { err, ok, type Result } from "neverthrow";
import { parseDocument, type SettingDocument, type SettingSection } from "./settingDocument.js";
import { getPropertyName, type SettingKey, type SettingKeys, type SettingValues } from "./settingKey.js";
import { findClosestName, type ValidationError } from "./validationError.js";

/** Represents one kind of section. */
export interface SectionSchema<Keys extends SettingKeys = SettingKeys> {
    /** The section's name as shown on the reference page, with variable parts in capitals. */
    readonly title: string;
    readonly description: string;
    /** Pattern of the names of sections of this kind. */
    readonly pattern: RegExp;
    /** Whether a file without such a section is still checked for the required keys of the section. */
    readonly isRequired: boolean;
    readonly keys: Keys;
}

/** Represents one kind of settings file. */
export interface SettingSchema {
    readonly title: string;
    readonly description: string;
    readonly sections: readonly SectionSchema[];
}

/**
 * Creates the schema of a section with a fixed name.
 * @param title - The name.
 * @param description - One sentence for the reference page.
 * @param keys - The keys.
 * @param isRequired - Whether a file without the section is checked for required keys.
 */
export function defineSection<Keys extends SettingKeys>(
    title: string,
    description: string,
    keys: Keys,
    isRequired = true,
): SectionSchema<Keys> {
    return { title, description, pattern: new RegExp(`^${title}$`), isRequired, keys };
}

/**
 * Validates a settings file and reports all errors.
 * @param content - The text of the file.
 * @param file - The file's name, used in error messages.
 * @param schema - The schema of the file.
 */
export function checkSettings(
    content: string,
    file: string,
    schema: SettingSchema,
): Result<SettingDocument, readonly ValidationError[]> {
    const document = parseDocument(content, file);
    const errors = [...document.errors];
    for (const section of document.sections.values()) {
        const sectionSchema = findSectionSchema(schema, section.name);
        if (sectionSchema === undefined) {
            errors.push(createUnknownSectionError(file, section, schema));
            continue;
        }
        errors.push(...checkSection(file, section, sectionSchema));
    }
    for (const sectionSchema of schema.sections) {
        const isAbsent = ![...document.sections.keys()].some(name => sectionSchema.pattern.test(name));
        if (sectionSchema.isRequired && isAbsent) {
            const emptySection = { name: sectionSchema.title, line: 0, lines: new Map() };
            errors.push(...checkSection(file, emptySection, sectionSchema));
        }
    }
    errors.sort((left, right) => left.line - right.line);
    return errors.length === 0 ? ok(document) : err(errors);
}

/** Returns the schema of the section with a name, or undefined if the name matches none. */
export function findSectionSchema(schema: SettingSchema, name: string): SectionSchema | undefined {
    return schema.sections.find(section => section.pattern.test(name));
}

/** Returns the key with a name, or undefined if the section has none. */
export function getKey(schema: SectionSchema, name: string): SettingKey<unknown> | undefined {
    // Looks up own properties only. Otherwise, a key named `constructor` in a file would match an inherited property and
    // make the validation throw.
    return Object.hasOwn(schema.keys, name) ? schema.keys[name] : undefined;
}

/**
 * Returns the values of a section of a validated file, including defaults.
 * @param document - A file in which `checkSettings` found no errors.
 * @param name - The section's name.
 * @param schema - The schema of the section.
 */
export function getValues<Keys extends SettingKeys>(
    document: SettingDocument,
    name: string,
    schema: SectionSchema<Keys>,
): SettingValues<Keys> {
    const lines = document.sections.get(name)?.lines;
    const values: Record<string, unknown> = {};
    for (const [keyName, key] of Object.entries(schema.keys)) {
        const text = lines?.get(keyName)?.value ?? key.defaultText;
        values[getPropertyName(keyName)] = text === undefined ? undefined : key.parse(text).unwrapOr(undefined);
    }
    return values as SettingValues<Keys>;
}

/** Returns the error for an unknown key in a section, with the closest known key as a suggestion. */
export function describeUnknownKey(key: string, schema: SectionSchema): Pick<ValidationError, "message" | "remedy"> {
    const closestName = findClosestName(key, Object.keys(schema.keys));
    return {
        message: "The key is not known here.",
        remedy: closestName === undefined
            ? `Use one of ${Object.keys(schema.keys).join(", ")}.`
            : `Did you mean ${closestName}?`,
    };
}

function checkSection(file: string, section: SettingSection, schema: SectionSchema): ValidationError[] {
    const errors: ValidationError[] = [];
    const location = { file, section: section.name };
    for (const setting of section.lines.values()) {
        const key = getKey(schema, setting.key);
        if (key === undefined) {
            errors.push({
                ...location,
                line: setting.line,
                key: setting.key,
                ...describeUnknownKey(setting.key, schema),
            });
            continue;
        }
        const parsed = key.parse(setting.value);
        if (parsed.isErr()) {
            const message = `"${setting.value}" cannot be used.`;
            errors.push({ ...location, line: setting.line, key: setting.key, message, remedy: parsed.error });
        }
    }
    for (const [name, key] of Object.entries(schema.keys)) {
        if (key.isRequired && !section.lines.has(name)) {
            const remedy = `Write, for instance, ${name} = ${key.example}.`;
            errors.push({ ...location, line: section.line, key: name, message: "The key is missing.", remedy });
        }
    }
    return errors;
}

function createUnknownSectionError(file: string, section: SettingSection, schema: SettingSchema): ValidationError {
    const titles = schema.sections.map(knownSection => knownSection.title);
    const closestName = findClosestName(section.name, titles);
    return {
        file,
        line: section.line,
        section: section.name,
        key: "",
        message: "The section is not known.",
        remedy: closestName === undefined ? `Use one of ${titles.join(", ")}.` : `Did you mean [${closestName}]?`,
    };
}
