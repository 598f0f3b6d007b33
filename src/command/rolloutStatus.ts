/** `rattanlock rollout status` */
import { fetchFromNodes, fetchNodeStatuses } from "./nodeStatus.js";
import { OperatorCommand, type SiteFlags } from "./operatorCommand.js";
import { formatTable } from "./table.js";

const percent = 100;

interface StatusResponse {
    readonly waitingRollouts?: readonly string[];
}

/** Shows roll-outs, halts and the lease holder. */
export class RolloutStatusCommand extends OperatorCommand {
    static override summary =
        "Shows roll-outs with their stages, halted versions, and the holder of the roll-out lease.";
    static override examples = ["<%= config.bin %> rollout status --site site.ini"];

    async run(): Promise<object> {
        const { flags } = await this.parse(RolloutStatusCommand);
        const waiting = await this.#fetchWaitingRollouts(flags);
        return this.withControl(flags, async session => {
            const rollouts = session.rollouts.getRollouts();
            const halts = session.rollouts.getHalts();
            const lease = session.leases.get("control");
            const rows = rollouts.map(rollout => [
                rollout.id,
                rollout.candidate,
                rollout.baseline,
                waiting.has(rollout.id) ? "waits until its candidate is loaded" : rollout.state,
                `${rollout.stage + 1} of ${rollout.stages.length} (${rollout.stages[rollout.stage] * percent}%)`,
            ]);
            this.log(formatTable(["ROLL-OUT", "CANDIDATE", "BASELINE", "STATE", "STAGE"], rows));
            for (const halt of halts) {
                this.log(`halted: ${halt.version} since ${new Date(halt.at).toISOString()}: ${halt.reason}`);
            }
            this.log(
                lease === undefined || lease.isReleased
                    ? "No process holds the lease; roll-outs do not progress."
                    : `${lease.holder} drives roll-outs with the fencing token ${lease.fence}.`,
            );
            return { rollouts, halts, lease, waiting: [...waiting] };
        });
    }

    /** Fetches the roll-outs that wait for their candidate from the entries. Returns none if no VM list is configured. */
    async #fetchWaitingRollouts(flags: SiteFlags): Promise<ReadonlySet<string>> {
        const url = this.findUrl(flags, "vm-list");
        if (url === undefined) {
            return new Set();
        }
        const nodes = (await fetchNodeStatuses(url, flags["operator-port"])).unwrapOr([]);
        const responses = [...(await fetchFromNodes(nodes, "/status")).values()];
        return new Set(responses.flatMap(response => (response as StatusResponse).waitingRollouts ?? []));
    }
}
