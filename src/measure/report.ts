/** Reports of measurements, as text and as JSON. */

/** Figures of one case over all seeds. */
export interface ReportRow {
    readonly name: string;
    /** Figures by column title. */
    readonly figures: Readonly<Record<string, number | string>>;
}

/** One table of a report. */
export interface ReportTable {
    readonly title: string;
    readonly rows: readonly ReportRow[];
}

/** The report of a measurement. */
export interface Report {
    readonly measurement: string;
    readonly seeds: readonly number[];
    readonly tables: readonly ReportTable[];
}

/** Mean, sample standard deviation and range of a figure over several runs. */
export interface Summary {
    readonly mean: number;
    readonly deviation: number;
    readonly min: number;
    readonly max: number;
}

/** Summarizes a figure over several runs. */
export function summarize(values: readonly number[]): Summary {
    let sum = 0;
    for (const value of values) {
        sum += value;
    }
    const mean = sum / values.length;
    let squares = 0;
    for (const value of values) {
        squares += (value - mean) ** 2;
    }
    const deviation = Math.sqrt(squares / Math.max(1, values.length - 1));
    return { mean, deviation, min: Math.min(...values), max: Math.max(...values) };
}

/** Formats mean, standard deviation and range of a figure as `mean ± deviation (min to max)`. */
export function formatSummary(values: readonly number[], digits = 2): string {
    const { mean, deviation, min, max } = summarize(values);
    const range = `${min.toFixed(digits)} to ${max.toFixed(digits)}`;
    return `${mean.toFixed(digits)} ± ${deviation.toFixed(digits)} (${range})`;
}

/** Formats a report as Markdown tables. */
export function formatReport(report: Report): string {
    const parts = [`# ${report.measurement}`];
    if (report.seeds.length > 0) {
        parts.push(`Seeds: ${formatSeeds(report.seeds)}`);
    }
    for (const table of report.tables) {
        parts.push(`## ${table.title}`, formatTable(table));
    }
    return parts.join("\n\n");
}

function formatSeeds(seeds: readonly number[]): string {
    return seeds.length === 1 ? `${seeds[0]}` : `${seeds[0]} to ${seeds.at(-1)}`;
}

function formatTable(table: ReportTable): string {
    const columns = new Set<string>();
    for (const row of table.rows) {
        for (const column of Object.keys(row.figures)) {
            columns.add(column);
        }
    }
    const lines = [`| | ${[...columns].join(" | ")} |`, `| --- |${" --- |".repeat(columns.size)}`];
    for (const row of table.rows) {
        const cells = [...columns].map(column => formatCell(row.figures[column]));
        lines.push(`| ${row.name} | ${cells.join(" | ")} |`);
    }
    return lines.join("\n");
}

function formatCell(cell: number | string | undefined): string {
    if (typeof cell === "number") {
        return Number.isInteger(cell) ? `${cell}` : cell.toPrecision(3);
    }
    return cell ?? "";
}
