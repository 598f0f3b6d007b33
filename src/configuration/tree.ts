/**
 * Represents the configuration tree as text: sections with keys, as operators write them.
 */

/** The keys of a section as text. */
export type SectionText = ReadonlyMap<string, string>;

/** Sections by name. A section without keys does not exist. */
export type Tree = ReadonlyMap<string, SectionText>;

/** The key of a change that removes a whole section and all sections below it. */
export const wholeSection = "*";

/** Represents one change of the tree. */
export interface Change {
    readonly section: string;
    /** A key, or `*` without a value to remove the section and all sections below it. */
    readonly key: string;
    /** The new text; absent to remove the key. */
    readonly value?: string;
}

/** Returns whether a section is equal to another section or below it. */
export function isWithin(section: string, ancestor: string): boolean {
    return section === ancestor || section.startsWith(`${ancestor}.`);
}

/** Returns the names of a section and of all sections above it, starting with the section itself. */
export function getLineage(section: string): readonly string[] {
    const lineage = [section];
    let end = section.lastIndexOf(".");
    while (end > 0) {
        lineage.push(section.slice(0, end));
        end = section.lastIndexOf(".", end - 1);
    }
    return lineage;
}

/**
 * Returns a copy of the tree with the changes applied.
 * @param tree - The tree.
 * @param changes - The changes, in the order in which to apply them.
 */
export function changeTree(tree: Tree, changes: readonly Change[]): Tree {
    const changed = new Map(tree);
    for (const change of changes) {
        if (change.key === wholeSection) {
            removeSections(changed, change.section);
            continue;
        }
        const keys = new Map(changed.get(change.section));
        if (change.value === undefined) {
            keys.delete(change.key);
        }
        else {
            keys.set(change.key, change.value);
        }
        if (keys.size === 0) {
            changed.delete(change.section);
        }
        else {
            changed.set(change.section, keys);
        }
    }
    return changed;
}

/**
 * Returns the changes that turn one tree into another.
 * @param from - The tree in force.
 * @param to - The desired tree.
 */
export function compareTrees(from: Tree, to: Tree): readonly Change[] {
    const changes: Change[] = [];
    for (const [section, keys] of to) {
        for (const [key, value] of keys) {
            if (from.get(section)?.get(key) !== value) {
                changes.push({ section, key, value });
            }
        }
    }
    for (const [section, keys] of from) {
        for (const key of keys.keys()) {
            if (to.get(section)?.has(key) !== true) {
                changes.push({ section, key });
            }
        }
    }
    return changes;
}

function removeSections(tree: Map<string, SectionText>, ancestor: string): void {
    for (const section of [...tree.keys()]) {
        if (isWithin(section, ancestor)) {
            tree.delete(section);
        }
    }
}
