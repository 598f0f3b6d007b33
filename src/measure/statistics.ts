/**
 * Summaries of measured values over requests and seeds.
 */

/**
 * Returns a quantile of values by the nearest rank, or 0 without values.
 * @param share - The quantile, from 0 to 1.
 */
export function getQuantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Median, minimum and maximum of one figure over the seeds. */
export interface Spread {
    readonly median: number;
    readonly least: number;
    readonly greatest: number;
}

/** Summarizes one figure over the seeds. */
export function getSpread(values: readonly number[]): Spread {
    return { median: getQuantile(values, 0.5), least: Math.min(...values), greatest: Math.max(...values) };
}

/** Formats a spread as `median (minimum-maximum)`. */
export function formatSpread(spread: Spread, digits: number): string {
    const parts = [spread.median, spread.least, spread.greatest].map(value => value.toFixed(digits));
    return `${parts[0]} (${parts[1]}-${parts[2]})`;
}

/** Formats rows as a Markdown table. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`);
    return lines.join("\n");
}

/** Returns the integers from 0 up to, but not including, `end`. */
export function getRange(end: number): readonly number[] {
    return [...Array(end).keys()];
}
