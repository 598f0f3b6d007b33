/**
 * Comparison of the results of two runs.
 */
import { countTitles, type Distribution, distributionTitles, type LoadResult } from "./loadResult.js";

/** One figure of both runs. */
export interface Difference {
    readonly name: string;
    readonly before: number;
    readonly after: number;
}

const comparedFigures = ["p50", "p95", "p99"] as const satisfies readonly (keyof Distribution)[];

/**
 * Returns the figures of two runs side by side.
 * @param before - The reference run.
 * @param after - The run that is compared with it.
 */
export function compareResults(before: LoadResult, after: LoadResult): readonly Difference[] {
    const differences: Difference[] = [
        { name: "rate, requests/s", before: before.ratePerSecond, after: after.ratePerSecond },
        { name: "requests", before: before.requests, after: after.requests },
        { name: "goodput, answers/s", before: before.goodPerSecond, after: after.goodPerSecond },
    ];
    for (const [key, title] of Object.entries(distributionTitles)) {
        const name = key as keyof LoadResult["distributions"];
        for (const figure of comparedFigures) {
            differences.push({
                name: `${title} ${figure}, ms`,
                before: before.distributions[name][figure],
                after: after.distributions[name][figure],
            });
        }
    }
    for (const work of new Set([...Object.keys(before.firstUse), ...Object.keys(after.firstUse)])) {
        for (const figure of comparedFigures) {
            differences.push({
                name: `first use of ${work} ${figure}, ms`,
                before: before.firstUse[work]?.[figure] ?? 0,
                after: after.firstUse[work]?.[figure] ?? 0,
            });
        }
    }
    for (const [key, title] of Object.entries(countTitles)) {
        const name = key as keyof typeof countTitles;
        for (const entry of new Set([...Object.keys(before[name]), ...Object.keys(after[name])])) {
            differences.push({
                name: `${title} ${entry}`,
                before: before[name][entry] ?? 0,
                after: after[name][entry] ?? 0,
            });
        }
    }
    return differences;
}

/**
 * Formats differences as an aligned table.
 * @param differences - The figures.
 */
export function formatDifferences(differences: readonly Difference[]): string {
    const rows = [["figure", "A", "B", "B - A", "change"]];
    for (const { name, before, after } of differences) {
        rows.push([
            name,
            formatNumber(before),
            formatNumber(after),
            formatNumber(after - before),
            formatChange(before, after),
        ]);
    }
    const widths = rows[0].map((...[, column]) => Math.max(...rows.map(row => row[column].length)));
    const lines = rows.map(row =>
        row.map((cell, column) => column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column])).join("  ")
    );
    return lines.join("\n");
}

function formatNumber(value: number): string {
    return Number.isInteger(value) ? String(value) : value.toFixed(2);
}

function formatChange(before: number, after: number): string {
    if (before === 0) {
        return after === 0 ? "0 %" : "new";
    }
    const percent = (after - before) / before * 100;
    return `${percent > 0 ? "+" : ""}${percent.toFixed(1)} %`;
}
