/**
 * The result of a run as text for a terminal.
 */
import { countTitles, distributionTitles, type LoadResult } from "./loadResult.js";
import { describeRun } from "./reportPage.js";

/**
 * Writes a result as lines of text.
 * @param result - The run.
 */
export function formatResult(result: LoadResult): string {
    const lines = [describeRun(result)];
    for (const [key, title] of Object.entries(distributionTitles)) {
        const { count, p50, p95, p99, maximum } = result.distributions[key as keyof LoadResult["distributions"]];
        const [median, most, nearlyAll, slowest] = [p50, p95, p99, maximum].map(value => value.toFixed(2));
        lines.push(`${title}: median ${median}, p95 ${most}, p99 ${nearlyAll}, maximum ${slowest} ms (${count} times)`);
    }
    for (const [key, title] of Object.entries(countTitles)) {
        const counts = Object.entries(result[key as keyof typeof countTitles]);
        lines.push(`by ${title}: ${counts.map(([name, count]) => `${name} ${count}`).join(", ")}`);
    }
    return lines.join("\n");
}
