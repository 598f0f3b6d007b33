/**
 * Determines which versions and services a scope allows. A child scope can only narrow the set of its parent.
 */
import { getLineage, type Tree } from "./tree.js";

/** Returns the model of a version's identifier. */
export function getModel(version: string): string {
    return version.slice(0, version.lastIndexOf("@"));
}

/** Returns the items of a list key, or undefined if the section does not set the key. */
export function getListItems(tree: Tree, section: string, key: string): readonly string[] | undefined {
    const text = tree.get(section)?.get(key);
    if (text === undefined) {
        return undefined;
    }
    return text === "" ? [] : text.split(",").map(item => item.trim());
}

/**
 * Returns the scopes that a section inherits from, starting with the section itself and ending with `root`.
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

/** Returns whether a version is listed by every scope of a lineage that has a list of versions. */
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

/** Returns the pools that are listed by every scope of a lineage that has a list of pools. */
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
