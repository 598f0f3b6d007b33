/**
 * Formats changes of the tree for operators.
 */
import type { Change, Tree } from "../configuration/index.js";

/** Formats each change on one line, with the previous value. */
export function formatChanges(tree: Tree, changes: readonly Change[]): string {
    return changes.map(change => formatChange(tree, change)).join("\n");
}

/** Returns the withdrawn versions that the changes would restore. */
export function getLiftedVersions(tree: Tree, changes: readonly Change[]): readonly string[] {
    return changes
        .filter(change =>
            change.section.startsWith("version.") && change.key === "status" && change.value !== "withdrawn"
        )
        .filter(change => tree.get(change.section)?.get("status") === "withdrawn")
        .map(change => change.section.slice("version.".length));
}

function formatChange(tree: Tree, change: Change): string {
    const previousValue = tree.get(change.section)?.get(change.key);
    const location = `[${change.section}] ${change.key}`;
    if (change.value === undefined) {
        return `- ${location} = ${previousValue ?? ""}`;
    }
    return previousValue === undefined
        ? `+ ${location} = ${change.value}`
        : `~ ${location} = ${previousValue} -> ${change.value}`;
}
