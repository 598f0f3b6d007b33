/** `rattanlock upstreams` */
import { askNodes } from "./nodeStatus.js";
import { OperatorCommand } from "./operatorCommand.js";
import { formatTable } from "./table.js";

interface StatusAnswer {
    readonly upstreams?: readonly { readonly id: string; readonly pool: string; readonly failureDomain: string; }[];
}

/** Shows the upstreams and how many entries talk to each. */
export class UpstreamsCommand extends OperatorCommand {
    static override summary = "Shows the runners and services that entries talk to, and how many entries each has.";
    static override examples = ["<%= config.bin %> upstreams --site site.ini"];

    async run(): Promise<object> {
        const { flags } = await this.parse(UpstreamsCommand);
        const answers = await askNodes(await this.getStatuses(flags), "/status");
        const upstreams = new Map<string, { pool: string; failureDomain: string; entries: number; }>();
        for (const answer of answers.values()) {
            for (const { id, pool, failureDomain } of (answer as StatusAnswer).upstreams ?? []) {
                const known = upstreams.get(id);
                upstreams.set(id, { pool, failureDomain, entries: (known?.entries ?? 0) + 1 });
            }
        }
        const rows = [...upstreams].map(([id, found]) => [id, found.pool, found.failureDomain, String(found.entries)]);
        rows.sort((left, right) => left[0] < right[0] ? -1 : 1);
        this.log(formatTable(["UPSTREAM", "POOL", "FAILURE DOMAIN", "ENTRIES"], rows));
        return { upstreams: Object.fromEntries(upstreams) };
    }
}
