/** `rattanlock upstreams` */
import { fetchFromNodes } from "./nodeStatus.js";
import { OperatorCommand } from "./operatorCommand.js";
import { formatTable } from "./table.js";

interface StatusResponse {
    readonly upstreams?: readonly ReportedUpstream[];
    readonly orders?: readonly {
        readonly pool: string;
        readonly runners: readonly { readonly id: string; readonly loading?: string; readonly isStalled: boolean; }[];
    }[];
}

interface ReportedUpstream {
    readonly id: string;
    readonly pool: string;
    readonly failureDomain: string;
    readonly versions?: readonly string[];
    readonly checksFencing?: boolean;
}

interface UpstreamSummary extends ReportedUpstream {
    readonly entries: number;
    /** State of the lease holder's orders to load versions; absent if the upstream gets no orders. */
    readonly orders?: string;
}

/** Shows the upstreams and the number of entries that are connected to each. */
export class UpstreamsCommand extends OperatorCommand {
    static override summary = "Shows runners and services: the number of entries that use each, its loaded versions, "
        + "whether it checks fencing tokens, and its orders to load versions.";
    static override examples = ["<%= config.bin %> upstreams --site site.ini"];

    async run(): Promise<object> {
        const { flags } = await this.parse(UpstreamsCommand);
        const responses = await fetchFromNodes(await this.fetchStatuses(flags), "/status");
        const upstreams = collectUpstreams([...responses.values()] as readonly StatusResponse[]);
        const rows = [...upstreams.values()].map(upstream => [
            upstream.id,
            upstream.pool,
            upstream.failureDomain,
            String(upstream.entries),
            describeFencing(upstream.checksFencing),
            upstream.versions?.join(", ") ?? "",
            upstream.orders ?? "",
        ]);
        rows.sort((left, right) => left[0] < right[0] ? -1 : 1);
        const titles = ["UPSTREAM", "POOL", "FAILURE DOMAIN", "ENTRIES", "CHECKS FENCING", "LOADED", "ORDERS"];
        this.log(formatTable(titles, rows));
        return { upstreams: Object.fromEntries(upstreams) };
    }
}

function collectUpstreams(responses: readonly StatusResponse[]): ReadonlyMap<string, UpstreamSummary> {
    const orders = new Map<string, string>();
    for (const pool of responses.flatMap(response => response.orders ?? [])) {
        for (const { id, loading, isStalled } of pool.runners) {
            orders.set(id, loading !== undefined ? `loads ${loading}` : isStalled ? "does not load" : "as wanted");
        }
    }
    const upstreams = new Map<string, UpstreamSummary>();
    for (const upstream of responses.flatMap(response => response.upstreams ?? [])) {
        const entries = (upstreams.get(upstream.id)?.entries ?? 0) + 1;
        upstreams.set(upstream.id, { ...upstream, entries, orders: orders.get(upstream.id) });
    }
    return upstreams;
}

function describeFencing(checksFencing: boolean | undefined): string {
    return checksFencing === undefined ? "unknown" : checksFencing ? "yes" : "no";
}
