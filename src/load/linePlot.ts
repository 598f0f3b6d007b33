/**
 * Line plots as SVG.
 */

const width = 720;
const height = 280;
const margin = { top: 16, right: 16, bottom: 44, left: 64 } as const;
const tickCount = 4;

/** One line of a plot. */
export interface PlotSeries {
    readonly name: string;
    readonly points: readonly (readonly [x: number, y: number])[];
}

/** The contents of a line plot. */
export interface LinePlot {
    readonly title: string;
    readonly xTitle: string;
    readonly yTitle: string;
    readonly series: readonly PlotSeries[];
    /** Positions and labels of the ticks on the x axis; evenly spaced ticks when undefined. */
    readonly xTicks?: readonly (readonly [x: number, label: string])[];
}

/** Escapes text for HTML and SVG. Without escaping, a name in a result could inject a script into the page. */
export function escapeText(text: string): string {
    return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`);
}

/**
 * Renders a plot as SVG. The page's CSS classes `series-1`, `series-2` and so on set the colours.
 * @param plot - The plot.
 */
export function drawLinePlot(plot: LinePlot): string {
    const points = plot.series.flatMap(series => series.points);
    const maxX = Math.max(...points.map(([x]) => x), ...(plot.xTicks ?? []).map(([x]) => x), Number.MIN_VALUE);
    const maxY = Math.max(...points.map(([...[, y]]) => y), Number.MIN_VALUE);
    const toX = (x: number): number => margin.left + x / maxX * (width - margin.left - margin.right);
    const toY = (y: number): number => height - margin.bottom - y / maxY * (height - margin.top - margin.bottom);
    const parts: string[] = [];
    for (let tick = 0; tick <= tickCount; tick += 1) {
        const y = maxY * tick / tickCount;
        parts.push(
            `<line class="grid" x1="${margin.left}" x2="${width - margin.right}" y1="${formatCoordinate(toY(y))}" y2="${
                formatCoordinate(toY(y))
            }"/>`,
            drawLabel({ x: margin.left - 8, y: toY(y) + 4, anchor: "end", text: formatTick(y) }),
        );
    }
    for (const [x, label] of plot.xTicks ?? createTicks(maxX)) {
        parts.push(drawLabel({ x: toX(x), y: height - margin.bottom + 18, anchor: "middle", text: label }));
    }
    for (const [index, series] of plot.series.entries()) {
        const path = series.points.map(([x, y]) => `${formatCoordinate(toX(x))},${formatCoordinate(toY(y))}`).join(" ");
        parts.push(
            `<polyline class="series-${index + 1}" points="${path}"><title>${
                escapeText(series.name)
            }</title></polyline>`,
        );
    }
    parts.push(
        drawLabel({ x: (margin.left + width - margin.right) / 2, y: height - 6, anchor: "middle", text: plot.xTitle }),
        drawLabel({ x: 4, y: margin.top - 4, anchor: "start", text: plot.yTitle }),
    );
    const title = escapeText(plot.title);
    return [
        `<figure><figcaption>${title}</figcaption>`,
        `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${title}">`,
        ...parts,
        "</svg>",
        `<p class="legend">${drawLegend(plot.series)}</p></figure>`,
    ].join("\n");
}

function drawLegend(series: readonly PlotSeries[]): string {
    return series.map(({ name }, index) => `<span class="key-${index + 1}">${escapeText(name)}</span>`).join(" ");
}

function drawLabel(label: { x: number; y: number; anchor: string; text: string; }): string {
    return `<text x="${formatCoordinate(label.x)}" y="${formatCoordinate(label.y)}" text-anchor="${label.anchor}">${
        escapeText(label.text)
    }</text>`;
}

function createTicks(max: number): readonly (readonly [number, string])[] {
    const ticks: [number, string][] = [];
    for (let tick = 0; tick <= tickCount; tick += 1) {
        const x = max * tick / tickCount;
        ticks.push([x, formatTick(x)]);
    }
    return ticks;
}

function formatTick(value: number): string {
    return value >= 100 || Number.isInteger(value) ? value.toFixed(0) : value.toPrecision(2);
}

function formatCoordinate(coordinate: number): string {
    return coordinate.toFixed(1);
}
