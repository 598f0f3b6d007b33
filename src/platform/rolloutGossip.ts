/**
 * Exchanges evidence on roll-outs, and halts, between the nodes by gossip.
 */
import type { Gossip, Membership } from "../membership/index.js";
import { leadingNodeCount, type PeerReport, type Rollouts, type RolloutsOptions } from "../rollouts/index.js";

/** Prefixes of gossip keys: evidence on the candidate of a pool's roll-out, and halts of a roll-out. */
const evidenceKeyPrefix = "rollout-evidence/";
const haltKeyPrefix = "rollout-halt/";
/** Time between two reports of a node for each other node, in milliseconds: a leading node reads at most 250 reports a second. */
const reportMillisecondsPerNode = 4;

/** What roll-outs need of the other nodes. */
export type RolloutPeers = Pick<
    RolloutsOptions,
    "getRank" | "publishEvidence" | "getReportInterval" | "getEvidence" | "publishHalt"
>;

/** Options of `createRolloutPeers`. */
export interface RolloutPeersOptions {
    /** Name of this node. */
    readonly self: string;
    readonly gossip: Gossip;
    readonly membership: Membership;
}

/** Creates the exchange of a node with the other nodes. */
export function createRolloutPeers({ self, gossip, membership }: RolloutPeersOptions): RolloutPeers {
    return {
        getRank: () => membership.getAlive().filter(member => member.id < self).length,
        publishEvidence: (pool, value) =>
            gossip.set(`${evidenceKeyPrefix}${pool}`, value, { recipients: getLeadingNodes(membership) }),
        getReportInterval: () => gossip.getPeers().size * reportMillisecondsPerNode,
        getEvidence: pool => getPeerReports(gossip, self, pool),
        publishHalt: (pool, order) =>
            gossip.set(`${haltKeyPrefix}${pool}`, Buffer.from(String(order)), { urgent: true }),
    };
}

/** Halts roll-outs that other nodes have halted. */
export function followHalts(gossip: Gossip, rollouts: Rollouts): void {
    gossip.onUpdate((...[, key, value]) => {
        if (key.startsWith(haltKeyPrefix) && value !== undefined) {
            rollouts.setHalted(key.slice(haltKeyPrefix.length), Number(value.toString()));
        }
    });
}

/** Returns the nodes that follow a roll-out closely: the first ones by rank that are alive. */
function getLeadingNodes(membership: Membership): readonly string[] {
    return membership.getAlive().map(({ id }) => id).sort().slice(0, leadingNodeCount);
}

function* getPeerReports(gossip: Gossip, self: string, pool: string): Iterable<PeerReport> {
    for (const { origin, value } of gossip.getAll(`${evidenceKeyPrefix}${pool}`)) {
        if (origin !== self) {
            yield { origin, value };
        }
    }
}
