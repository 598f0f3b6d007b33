/** `rattanlock explain REQUEST` */
import { Args } from "@oclif/core";
import { fetchFromNodes } from "./nodeStatus.js";
import { OperatorCommand } from "./operatorCommand.js";

interface Explanation {
    readonly lines: readonly string[];
}

/** Shows why a request was routed as it was. */
export class ExplainCommand extends OperatorCommand {
    static override summary = "Shows why a recent request ran on its models, versions and runners.";
    static override examples = ["<%= config.bin %> explain 754d8130-d538-4752-bd05-ed8919df1fcb --site site.ini"];
    static override args = { request: Args.string({ required: true, description: "The answer's X-Request-Id." }) };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(ExplainCommand);
        const nodes = await this.fetchStatuses(flags);
        const responses = await fetchFromNodes(nodes, `/explain/${encodeURIComponent(args.request)}`);
        for (const [entry, response] of responses) {
            const { lines } = response as Explanation;
            this.log(`${entry}:\n${lines.map(line => `  ${line}`).join("\n")}`);
            return { entry, request: args.request, lines };
        }
        return this.failRefused(
            `No entry has data about the request ${args.request}. Only recent requests are retained.`,
        );
    }
}
