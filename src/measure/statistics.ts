/**
 * Summaries of measured values over requests and over seeds.
 */

/** Returns a quantile of values by the nearest rank, or 0 without values. */
export function getQuantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Median, least and greatest of one figure over the seeds. */
export interface Spread {
    readonly median: number;
    readonly least: number;
    readonly greatest: number;
}

/** Summarises one figure over the seeds. */
export function getSpread(values: readonly number[]): Spread {
    return { median: getQuantile(values, 0.5), least: Math.min(...values), greatest: Math.max(...values) };
}

/** Writes a spread as `median (least-greatest)`. */
export function formatSpread(spread: Spread, digits: number): string {
    const parts = [spread.median, spread.least, spread.greatest].map(value => value.toFixed(digits));
    return `${parts[0]} (${parts[1]}-${parts[2]})`;
}

/** Writes rows as a Markdown table. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`);
    return lines.join("\n");
}

/** Returns the numbers from 0 up to a bound, which is left out. */
export function getRange(end: number): readonly number[] {
    return [...Array(end).keys()];
}
