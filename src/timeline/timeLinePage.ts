/**
 * Renders a time line as a self-contained HTML page, with one lane per process and one event per row.
 */
import { formatFields, type TimeLineEvent } from "./timeLine.js";

const laneWidth = 130;
const rowHeight = 30;
const headerHeight = 46;
const timeWidth = 90;
const labelWidth = 560;
const dotRadius = 5;

const style = `
    :root { color-scheme: light dark; --line: #8884; --text: #222; --back: #fff; --info: #2a6fb0;
        --warning: #b26a00; --error: #b3261e; }
    @media (prefers-color-scheme: dark) { :root { --text: #e6e6e6; --back: #17181a; --info: #7db7ee;
        --warning: #f0b35a; --error: #ff8a80; } }
    body { margin: 24px; background: var(--back); color: var(--text); font: 14px system-ui, sans-serif; }
    h1 { font-size: 18px; font-weight: 600; }
    .frame { overflow-x: auto; }
    svg text { fill: var(--text); font-size: 12px; }
    svg .lane { stroke: var(--line); }
    svg .process { font-weight: 600; }
    svg .time { text-anchor: end; opacity: 0.7; }
    svg .info { fill: var(--info); }
    svg .warning { fill: var(--warning); }
    svg .error { fill: var(--error); }
    svg .fields { opacity: 0.75; }
    svg .link { stroke: var(--line); stroke-dasharray: 2 3; }
`;

/**
 * Renders a time line as an HTML page.
 * @param title - The title of the page.
 * @param events - The time line.
 */
export function createTimeLinePage(title: string, events: readonly TimeLineEvent[]): string {
    const processes = [...new Set(events.map(({ line }) => line.process))].sort();
    const width = timeWidth + processes.length * laneWidth + labelWidth;
    const height = headerHeight + events.length * rowHeight + rowHeight;
    const parts = [
        ...processes.map((process, index) => drawLane(process, index, height)),
        ...events.map((event, index) => drawEvent(event, index, processes)),
    ];
    return `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>${escapeText(title)}</title>
<style>${style}</style>
</head>
<body>
<h1>${escapeText(title)}</h1>
<p>${events.length} events of ${processes.length} processes, each cause before its effect.</p>
<div class="frame">
<svg width="${width}" height="${height}" role="img" aria-label="${escapeText(title)}">
${parts.join("\n")}
</svg>
</div>
</body>
</html>
`;
}

function drawLane(process: string, index: number, height: number): string {
    const x = getLaneX(index);
    return `<line class="lane" x1="${x}" y1="${headerHeight - 10}" x2="${x}" y2="${height}"/>`
        + `<text class="process" x="${x}" y="${headerHeight - 20}" text-anchor="middle">${escapeText(process)}</text>`;
}

function drawEvent({ line, shownMilliseconds }: TimeLineEvent, index: number, processes: readonly string[]): string {
    const x = getLaneX(processes.indexOf(line.process));
    const y = headerHeight + index * rowHeight + rowHeight / 2;
    const labelX = timeWidth + processes.length * laneWidth;
    const fields = formatFields(line);
    return `<g><title>${escapeText(`${line.event} ${line.name} ${fields}`)}</title>`
        + `<text class="time" x="${timeWidth - 14}" y="${y + 4}">+${shownMilliseconds.toFixed(0)} ms</text>`
        + `<line class="link" x1="${x}" y1="${y}" x2="${labelX - 8}" y2="${y}"/>`
        + `<circle class="${line.level}" cx="${x}" cy="${y}" r="${dotRadius}"/>`
        + `<text x="${labelX}" y="${y + 4}"><tspan class="${line.level}">${line.event} ${escapeText(line.name)}</tspan>`
        + ` <tspan class="fields">${escapeText(truncate(fields))}</tspan></text></g>`;
}

function getLaneX(index: number): number {
    return timeWidth + index * laneWidth + laneWidth / 2;
}

function truncate(text: string): string {
    const maxLength = 78;
    return text.length > maxLength ? `${text.slice(0, maxLength - 1)}…` : text;
}

function escapeText(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;");
}
