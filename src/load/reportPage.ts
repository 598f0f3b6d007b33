/**
 * The report of a run as one self-contained HTML page: no scripts, and no styles or images from other hosts.
 */
import { drawLinePlot, escapeText, type PlotSeries } from "./linePlot.js";
import { countTitles, type Distribution, distributionTitles, type LoadResult, type LoadSecond } from "./loadResult.js";

/** Labels of the percentile axis, which is stretched towards 100 so that the slowest requests are visible. */
const percentileTicks: readonly number[] = [0, 50, 90, 99, 99.9];
/** Percentile at whose position 100 % is drawn; on the logarithmic axis, 100 % itself would lie at infinity. */
const maxPercentile = 99.99;
const plottedDistributions = ["firstToken", "answer", "refusal", "gap", "late"] as const;
const secondTitles: Readonly<Record<keyof LoadSecond, string>> = {
    arrived: "arrived",
    good: "good answers",
    refused: "refused",
    failed: "failed or broken",
};

const style = `
:root { color-scheme: light dark; --ink: #1b1f24; --paper: #ffffff; --line: #d0d7de;
  --c1: #0b62c4; --c2: #b54708; --c3: #1a7f37; --c4: #8250df; --c5: #bf2a6b; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6edf3; --paper: #0d1117; --line: #3d444d;
  --c1: #6cb6ff; --c2: #f0a35e; --c3: #6bd98a; --c4: #c8a6ff; --c5: #ff8fbf; } }
body { background: var(--paper); color: var(--ink); font: 15px/1.5 system-ui, sans-serif; max-width: 780px;
  margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; margin: 1rem 0; } th, td { border-bottom: 1px solid var(--line);
  padding: 0.2rem 0.8rem; text-align: right; } th:first-child, td:first-child { text-align: left; }
figure { margin: 2rem 0; } figcaption { font-weight: 600; } svg { width: 100%; height: auto; }
text { fill: var(--ink); font-size: 12px; } .grid { stroke: var(--line); } polyline { fill: none; stroke-width: 2; }
.series-1 { stroke: var(--c1); } .series-2 { stroke: var(--c2); } .series-3 { stroke: var(--c3); }
.series-4 { stroke: var(--c4); } .series-5 { stroke: var(--c5); } .legend span { margin-right: 1rem; }
.legend span::before { content: "\\25A0  "; } .key-1::before { color: var(--c1); } .key-2::before { color: var(--c2); }
.key-3::before { color: var(--c3); } .key-4::before { color: var(--c4); } .key-5::before { color: var(--c5); }
`;

/**
 * Creates the HTML page.
 * @param result - The result of the run.
 */
export function createReportPage(result: LoadResult): string {
    const title = escapeText(result.title);
    return [
        "<!DOCTYPE html>",
        `<html lang="en"><head><meta charset="utf-8"><title>${title}</title>`,
        `<meta name="viewport" content="width=device-width"><style>${style}</style></head><body>`,
        `<h1>${title}</h1>`,
        `<p>${escapeText(describeRun(result))}</p>`,
        "<h2>Times in milliseconds</h2>",
        createTimeTable(result),
        "<h2>Time to first usable output, by work</h2>",
        createDistributionTable(Object.entries(result.firstUse)),
        drawPercentiles(result),
        drawTimeLine(result),
        "<h2>Counts</h2>",
        ...createCountTables(result),
        "</body></html>",
        "",
    ].join("\n");
}

/**
 * Describes a run and its goodput in two sentences.
 * @param result - The result of the run.
 */
export function describeRun(result: LoadResult): string {
    const { requests, tries, ratePerSecond, seconds, seed, startedAt, goodPerSecond } = result;
    return `${requests} requests in ${tries} attempts, ${ratePerSecond} per second for ${seconds} s, seed ${seed}, from `
        + `${startedAt}. Goodput: ${goodPerSecond.toFixed(2)} answers per second.`;
}

function createTimeTable({ distributions }: LoadResult): string {
    return createDistributionTable(
        Object.entries(distributionTitles).map(([key, title]) => [
            title,
            distributions[key as keyof typeof distributions],
        ]),
    );
}

function createDistributionTable(entries: readonly (readonly [title: string, Distribution])[]): string {
    const header = ["", "count", "mean", "p50", "p90", "p95", "p99", "maximum"];
    const rows = entries.map(([title, { count, mean, p50, p90, p95, p99, maximum }]) => {
        return [title, String(count), ...[mean, p50, p90, p95, p99, maximum].map(value => value.toFixed(2))];
    });
    return createTable(header, rows);
}

function createCountTables(result: LoadResult): readonly string[] {
    const tables: string[] = [];
    for (const [key, title] of Object.entries(countTitles)) {
        const counts = result[key as keyof typeof countTitles];
        const rows = Object.entries(counts).map(([name, count]) => [name, String(count)]);
        tables.push(createTable([title, "requests"], rows));
    }
    return tables;
}

function createTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const head = header.map(cell => `<th>${escapeText(cell)}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(cell => `<td>${escapeText(cell)}</td>`).join("")}</tr>`).join("\n");
    return `<table><thead><tr>${head}</tr></thead><tbody>${body}</tbody></table>`;
}

function drawPercentiles({ distributions }: LoadResult): string {
    const series: PlotSeries[] = plottedDistributions.map(name => ({
        name: distributionTitles[name],
        points: createCurve(distributions[name]),
    }));
    return drawLinePlot({
        title: "Latency percentiles, from the intended arrival",
        xTitle: "percentile",
        yTitle: "milliseconds",
        series,
        xTicks: percentileTicks.map(percentile => [scalePercentile(percentile), `${percentile} %`]),
    });
}

function createCurve({ curve }: Distribution): PlotSeries["points"] {
    return curve.map(([percentile, milliseconds]) => [scalePercentile(percentile), milliseconds]);
}

function scalePercentile(percentile: number): number {
    return -Math.log10(1 - Math.min(maxPercentile, percentile) / 100);
}

function drawTimeLine({ timeLine }: LoadResult): string {
    const series: PlotSeries[] = Object.entries(secondTitles).map(([key, name]) => ({
        name,
        points: timeLine.map((second, index) => [index, second[key as keyof LoadSecond]]),
    }));
    return drawLinePlot({ title: "Rates over time", xTitle: "seconds from the start", yTitle: "requests/s", series });
}
