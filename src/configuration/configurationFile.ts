/**
 * Parses and formats the configuration files of operators.
 */
import { err, ok, type Result } from "neverthrow";
import { checkSettings, type SettingDocument, type ValidationError } from "../settings/index.js";
import { checkTree, type TreeValidationError } from "./checkTree.js";
import type { Tree } from "./tree.js";
import { treeSchema } from "./treeSchema.js";

/**
 * Parses a configuration file and reports all errors in it.
 * @param content - The text of the file.
 * @param file - The file's name, used in error messages.
 */
export function parseConfigurationFile(content: string, file: string): Result<Tree, readonly ValidationError[]> {
    return checkSettings(content, file, treeSchema).andThen(document => {
        const tree = readTree(document);
        const emptySections = [...document.sections.values()].filter(section => section.lines.size === 0);
        const errors = [
            ...emptySections.map(section => ({
                section: section.name,
                key: "",
                message: "The section has no keys.",
                remedy: "Add a key, or remove the section: a scope without a section inherits all settings.",
            })),
            ...checkTree(tree),
        ]
            .map(error => addLocation(error, document))
            .sort((left, right) => left.line - right.line);
        return errors.length === 0 ? ok(tree) : err(errors);
    });
}

/** Formats a tree as the text of a configuration file. */
export function formatTree(tree: Tree): string {
    const parts: string[] = [];
    for (const [section, keys] of tree) {
        const lines = [...keys].map(([key, value]) => `${key} = ${value}`);
        parts.push([`[${section}]`, ...lines].join("\n"));
    }
    return `${parts.join("\n\n")}\n`;
}

function readTree(document: SettingDocument): Tree {
    const tree = new Map<string, ReadonlyMap<string, string>>();
    for (const section of document.sections.values()) {
        if (section.lines.size > 0) {
            tree.set(section.name, new Map([...section.lines].map(([key, line]) => [key, line.value])));
        }
    }
    return tree;
}

function addLocation(error: TreeValidationError, document: SettingDocument): ValidationError {
    const section = document.sections.get(error.section);
    const line = section?.lines.get(error.key)?.line ?? section?.line ?? 0;
    return { file: document.file, line, ...error };
}
