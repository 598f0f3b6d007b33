/** `rattanlock status` */
import { OperatorCommand } from "./operatorCommand.js";
import { formatTable } from "./table.js";

/** Shows the configuration offset and age of every entry. */
export class StatusCommand extends OperatorCommand {
    static override summary = "Shows which configuration is in force on each entry in the VM list.";
    static override examples = ["<%= config.bin %> status --site site.ini"];

    async run(): Promise<object> {
        const { flags } = await this.parse(StatusCommand);
        const nodes = await this.fetchStatuses(flags);
        const rows = nodes.map(node => [
            node.id,
            node.failureDomain,
            node.state,
            node.configurationOffset === undefined ? "no answer" : node.ready ? "ready" : "not ready",
            String(node.configurationOffset ?? "-"),
            String(node.configurationAgeMilliseconds ?? "-"),
        ]);
        this.log(formatTable(["ENTRY", "FAILURE DOMAIN", "VM", "STATE", "OFFSET", "AGE (MS)"], rows));
        return { nodes };
    }
}
