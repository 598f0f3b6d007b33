/**
 * Validates the configuration tree: single values against the schema, and sections against each other.
 */
import { describeUnknownKey, findClosestName, findSectionSchema, getKey } from "../settings/index.js";
import { getListItems, getModel, getScopeLineage, isVersionAllowed } from "./allowance.js";
import { type Change, type Tree, wholeSection } from "./tree.js";
import { getTreeSchema, treeFormat, versionKeys } from "./treeSchema.js";

/** Represents an error in the tree. The file and line are added if the tree was read from a file. */
export interface TreeValidationError {
    readonly section: string;
    readonly key: string;
    readonly message: string;
    readonly remedy: string;
}

const versionPrefix = "version.";

/**
 * Checks that a change names a known section and key and that its value can be parsed.
 * @param change - The change.
 * @param format - The format of the record that contains it.
 */
export function checkChange(change: Change, format: number = treeFormat): TreeValidationError | undefined {
    const location = { section: change.section, key: change.key };
    const schema = findSectionSchema(getTreeSchema(format), change.section);
    if (schema === undefined) {
        return { ...location, message: "The section is not known.", remedy: "See docs/SETTINGS.md for the sections." };
    }
    if (change.key === wholeSection) {
        return change.value === undefined
            ? undefined
            : {
                ...location,
                message: "A whole section has no value.",
                remedy: "Leave the value out to remove it.",
            };
    }
    const key = getKey(schema, change.key);
    if (key === undefined) {
        return { ...location, ...describeUnknownKey(change.key, schema) };
    }
    if (change.value === undefined) {
        return undefined;
    }
    const parsed = key.parse(change.value);
    return parsed.isOk()
        ? undefined
        : { ...location, message: `"${change.value}" cannot be used.`, remedy: parsed.error };
}

/** Checks the sections of a tree against each other. Every value must have passed `checkChange` before. */
export function checkTree(tree: Tree): readonly TreeValidationError[] {
    const versions = [...tree.keys()]
        .filter(section => section.startsWith(versionPrefix))
        .map(section => section.slice(versionPrefix.length));
    return [
        ...checkPrices(tree, versions),
        ...checkParents(tree),
        ...checkAllowed(tree, versions),
        ...checkApiKeys(tree),
    ];
}

function checkPrices(tree: Tree, versions: readonly string[]): TreeValidationError[] {
    const errors: TreeValidationError[] = [];
    for (const version of versions) {
        const section = `${versionPrefix}${version}`;
        const keys = tree.get(section);
        if (keys?.get("status") === "withdrawn") {
            continue;
        }
        for (const key of ["input_price", "output_price"] as const) {
            if (keys?.has(key) !== true) {
                errors.push({
                    section,
                    key,
                    message: "A version that can take work needs a price.",
                    remedy: `Write, for instance, ${key} = ${versionKeys[key].example}.`,
                });
            }
        }
    }
    return errors;
}

function checkParents(tree: Tree): TreeValidationError[] {
    const errors: TreeValidationError[] = [];
    for (const section of tree.keys()) {
        const match = /^(workspace\.[^.]+)\.application\./.exec(section);
        if (match && !tree.has(match[1])) {
            errors.push({
                section,
                key: "",
                message: `Its workspace [${match[1]}] does not exist.`,
                remedy: `Add [${match[1]}] with its keys, or remove this section.`,
            });
        }
    }
    return errors;
}

function checkAllowed(tree: Tree, versions: readonly string[]): TreeValidationError[] {
    const errors: TreeValidationError[] = [];
    const knownNames = new Set([...versions, ...versions.map(getModel)]);
    for (const section of tree.keys()) {
        const patterns = getListItems(tree, section, "allowed");
        if (patterns === undefined) {
            continue;
        }
        const location = { section, key: "allowed" };
        const unknownPatterns = patterns.filter(pattern => pattern !== "*" && !knownNames.has(pattern));
        for (const pattern of unknownPatterns) {
            const closestName = findClosestName(pattern, knownNames);
            errors.push({
                ...location,
                message: `"${pattern}" is no model or version of this tree.`,
                remedy: closestName === undefined
                    ? "Add a [version.MODEL@VERSION] for it."
                    : `Did you mean ${closestName}?`,
            });
        }
        const lineage = getScopeLineage(section);
        const hasAllowedVersion = versions.some(version => isVersionAllowed(tree, lineage, version));
        if (patterns.length > 0 && unknownPatterns.length === 0 && versions.length > 0 && !hasAllowedVersion) {
            errors.push({
                ...location,
                message: "No version remains, because the lists of its ancestors allow none of these.",
                remedy: `Choose from what ${lineage.slice(1).map(ancestor => `[${ancestor}]`).join(", ")} allow.`,
            });
        }
    }
    return errors;
}

function checkApiKeys(tree: Tree): TreeValidationError[] {
    const errors: TreeValidationError[] = [];
    const owners = new Map<string, string>();
    for (const section of tree.keys()) {
        for (const hash of getListItems(tree, section, "keys") ?? []) {
            const owner = owners.get(hash);
            if (owner !== undefined) {
                errors.push({
                    section,
                    key: "keys",
                    message: `The key ${hash.slice(0, 8)}... belongs to [${owner}] already.`,
                    remedy: "Make a key of its own with `rattanlock key`.",
                });
            }
            owners.set(hash, section);
        }
    }
    return errors;
}
