/**
 * Shows changes of the tree.
 */
import type { Change, Tree } from "../configuration/index.js";

/** Shows each change on a line, with the value in force before it. */
export function formatChanges(tree: Tree, changes: readonly Change[]): string {
    return changes.map(change => formatChange(tree, change)).join("\n");
}

/** Lists the withdrawn versions that changes would bring back. */
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
    const place = `[${change.section}] ${change.key}`;
    if (change.value === undefined) {
        return `- ${place} = ${previousValue ?? ""}`;
    }
    return previousValue === undefined
        ? `+ ${place} = ${change.value}`
        : `~ ${place} = ${previousValue} -> ${change.value}`;
}
