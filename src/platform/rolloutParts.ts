/**
 * Connects a node's roll-outs with its requests and with the other nodes.
 */
import type { EndedAttempt, Exchange } from "../forwarding/index.js";
import type { Gossip } from "../membership/index.js";
import { type PeerReport, Rollouts } from "../rollouts/index.js";
import type { NodeParts } from "./nodeParts.js";

/** Prefixes of gossip keys: evidence on the candidate of a pool's roll-out, and halts of a roll-out. */
const evidenceKeyPrefix = "rollout-evidence/";
const haltKeyPrefix = "rollout-halt/";

/** Returns the session of a request. A request without a session forms its own. */
export function getSession({ request }: Exchange): string {
    return request.session ?? request.id;
}

/**
 * Adds an answer as evidence on its version. Broken connections and timeouts do not count: their usual cause is a runner that
 * crashed or is overloaded. When they counted, three crashed runners caused a healthy version to be reverted.
 */
export function addEvidence(
    rollouts: Rollouts,
    { exchange, upstream, model, outcome, headMilliseconds, isWarmingUp }: EndedAttempt,
): void {
    if (outcome === "ok" || outcome === "error") {
        const segment = `${exchange.route.name} ${model ?? ""}`;
        const { objectiveMilliseconds } = exchange.route;
        rollouts.addAnswer(upstream, {
            segment,
            hasFailed: outcome === "error",
            headMilliseconds: isWarmingUp ? undefined : headMilliseconds,
            objectiveMilliseconds,
        });
    }
}

/** Creates the roll-outs, whose evidence and halts are exchanged by gossip. */
export function createRollouts(
    { clock, journal, registry, settings, membership, gossip, writer, self, topics }: NodeParts,
): Rollouts {
    const rollouts = new Rollouts({
        self: self.id,
        clock,
        journal,
        registry,
        exposureShare: settings.bounds.exposureShare,
        sessionMilliseconds: settings.bounds.sessionMilliseconds,
        getRank: () => membership.getAlive().filter(member => member.id < self.id).length,
        getMemberCount: () => membership.getMembers().length,
        publishEvidence: (pool, value) => gossip.set(`${evidenceKeyPrefix}${pool}`, value),
        getEvidence: pool => getPeerReports(gossip, self.id, pool),
        publishHalt: (pool, order) =>
            gossip.set(`${haltKeyPrefix}${pool}`, Buffer.from(String(order)), { urgent: true }),
        writeProgress: (order, progress) => writer.writeProgress(order, progress, topics.getOrderPosition(order)),
        isStored: (pool, progress) => topics.isProgressHeld(pool, progress),
        writePins: (pool, report) => writer.writePins(pool, report),
    });
    gossip.onUpdate((...[, key, value]) => {
        if (key.startsWith(haltKeyPrefix) && value !== undefined) {
            rollouts.setHalted(key.slice(haltKeyPrefix.length), Number(value.toString()));
        }
    });
    return rollouts;
}

function* getPeerReports(gossip: Gossip, self: string, pool: string): Iterable<PeerReport> {
    for (const { origin, value } of gossip.getAll(`${evidenceKeyPrefix}${pool}`)) {
        if (origin !== self) {
            yield { origin, value };
        }
    }
}
