/**
 * Which versions and services a scope allows. Sets only ever narrow from parent to child.
 */
import { getLineage, type Tree } from "./tree.js";

/** Returns the model of a version's identifier. */
export function getModel(version: string): string {
    return version.slice(0, version.lastIndexOf("@"));
}

/** Returns the items of a list key, or undefined when the section does not set it. */
export function getListItems(tree: Tree, section: string, key: string): readonly string[] | undefined {
    const text = tree.get(section)?.get(key);
    if (text === undefined) {
        return undefined;
    }
    return text === "" ? [] : text.split(",").map(item => item.trim());
}

/**
 * Returns the scopes that a section inherits from, itself first and `root` last.
 * @param section - The name of a workspace's, application's or session class's section.
 */
export function getScopeLineage(section: string): readonly string[] {
    if (section === "root") {
        return ["root"];
    }
    // Names alternate with `workspace`, `application` and `session`: every second ancestor is a scope.
    const scopes = getLineage(section).filter((...[, index]) => index % 2 === 0);
    return [...scopes, "root"];
}

/** Tells whether every scope of a lineage that lists versions lists this one. */
export function isVersionAllowed(tree: Tree, lineage: readonly string[], version: string): boolean {
    const model = getModel(version);
    for (const section of lineage) {
        const patterns = getListItems(tree, section, "allowed");
        if (patterns !== undefined && !patterns.some(item => item === "*" || item === model || item === version)) {
            return false;
        }
    }
    return true;
}

/** Returns the pools that every scope of a lineage that lists pools lists. */
export function getAllowedServices(tree: Tree, lineage: readonly string[]): readonly string[] {
    let allowed: readonly string[] | undefined;
    for (const section of lineage) {
        const listed = getListItems(tree, section, "services");
        if (listed !== undefined) {
            allowed = allowed === undefined ? listed : allowed.filter(pool => listed.includes(pool));
        }
    }
    return allowed ?? [];
}
