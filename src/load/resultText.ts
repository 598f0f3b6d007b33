/**
 * The result of a run as text for a terminal.
 */
import { countTitles, type Distribution, distributionTitles, type LoadResult } from "./loadResult.js";
import { describeRun } from "./reportPage.js";

/**
 * Formats a result as lines of text.
 * @param result - The result of the run.
 */
export function formatResult(result: LoadResult): string {
    const lines = [describeRun(result)];
    for (const [key, title] of Object.entries(distributionTitles)) {
        lines.push(formatDistribution(title, result.distributions[key as keyof LoadResult["distributions"]]));
    }
    for (const [work, distribution] of Object.entries(result.firstUse)) {
        lines.push(formatDistribution(`first use of ${work}`, distribution));
    }
    for (const [key, title] of Object.entries(countTitles)) {
        const counts = Object.entries(result[key as keyof typeof countTitles]);
        lines.push(`by ${title}: ${counts.map(([name, count]) => `${name} ${count}`).join(", ")}`);
    }
    return lines.join("\n");
}

function formatDistribution(title: string, { count, p50, p95, p99, maximum }: Distribution): string {
    const [median, percentile95, percentile99, max] = [p50, p95, p99, maximum].map(value => value.toFixed(2));
    return `${title}: median ${median}, p95 ${percentile95}, p99 ${percentile99}, maximum ${max} ms (${count} times)`;
}
