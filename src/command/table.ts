/**
 * Formats tables for terminal output.
 */

/**
 * Formats rows in columns that are as wide as their widest cell.
 * @param titles - The columns' titles.
 * @param rows - The cells.
 */
export function formatTable(titles: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = titles.map((title, column) => Math.max(title.length, ...rows.map(row => row[column].length)));
    const lines = [titles, ...rows].map(row =>
        row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
    );
    return lines.join("\n");
}
