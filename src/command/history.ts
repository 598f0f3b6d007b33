/** `rattanlock history` */
import { Flags } from "@oclif/core";
import type { RecordResult } from "../configuration/index.js";
import { OperatorCommand } from "./operatorCommand.js";
import { formatTable } from "./table.js";

/** Lists publications with their outcomes. */
export class HistoryCommand extends OperatorCommand {
    static override summary =
        "Lists the latest publications with their outcomes, and which change superseded a rejected one.";
    static override examples = ["<%= config.bin %> history --site site.ini --last 5"];
    static override flags = {
        last: Flags.integer({ description: "Maximum number of publications.", default: 20, min: 1, max: 100 }),
    };

    async run(): Promise<object> {
        const { flags } = await this.parse(HistoryCommand);
        const history = (await this.readConfiguration(flags)).getHistory().slice(-flags.last);
        const rows = history.map(result => [
            String(result.offset),
            new Date(result.time).toISOString(),
            result.author,
            result.outcome,
            String(result.changes),
            describeResult(result),
        ]);
        this.log(formatTable(["OFFSET", "TIME", "AUTHOR", "OUTCOME", "CHANGES", "REASON"], rows));
        return { history };
    }
}

function describeResult(result: RecordResult): string {
    if (result.beatenBy !== undefined) {
        return `${result.reason} (superseded by ${result.beatenBy.author} at ${result.beatenBy.offset})`;
    }
    return result.mistakes.length > 0 ? `${result.reason} (${result.mistakes[0].message})` : result.reason;
}
