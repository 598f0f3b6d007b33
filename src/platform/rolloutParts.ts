/**
 * Connects a node's roll-outs with its requests and with the other nodes.
 */
import type { AttemptObserver, EndedAttempt, Exchange, StartedAttempt } from "../forwarding/index.js";
import { type AttemptEnd, Rollouts } from "../rollouts/index.js";
import { isAcceptingConnections } from "../upstream/index.js";
import type { NodeParts } from "./nodeParts.js";
import { createRolloutPeers, followHalts } from "./rolloutGossip.js";

/** Returns the session of a request. A request without a session forms its own. */
export function getSession({ request }: Exchange): string {
    return request.session ?? request.id;
}

/** Starts to watch an attempt for the roll-out of its pool. */
export function watchAttempt(rollouts: Rollouts, started: StartedAttempt): AttemptObserver {
    const { exchange, upstream, model, isWarmingUp, load } = started;
    const { objectiveMilliseconds, pauseObjectiveMilliseconds = objectiveMilliseconds } = exchange.route;
    const endRequest = rollouts.startRequest(upstream, exchange.request.session);
    const watch = rollouts.watchAttempt(upstream, {
        segment: `${exchange.route.name} ${model ?? ""}`,
        objectiveMilliseconds,
        pauseObjectiveMilliseconds,
        isWarmingUp,
        load,
    });
    return {
        onHead: () => watch?.markHead(),
        onPause: milliseconds => watch?.addPause(milliseconds),
        onEnd: ended => {
            endRequest();
            watch?.end(getAttemptEnd(ended));
        },
    };
}

/**
 * Returns what the end of an attempt says about its version. Broken connections say nothing: their usual cause is a runner that
 * crashed. When they counted, three crashed runners caused a healthy version to be reverted.
 */
function getAttemptEnd({ outcome, isGivenUp }: EndedAttempt): AttemptEnd {
    if (isGivenUp) {
        return "given-up";
    }
    return outcome === "ok" ? "answered" : outcome === "error" ? "failed" : "unknown";
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
        isRunning: async id => {
            const upstream = registry.get(id);
            return upstream !== undefined && await isAcceptingConnections(upstream.address);
        },
        ...createRolloutPeers({ self: self.id, gossip, membership }),
        writeProgress: (order, progress) => writer.writeProgress(order, progress, topics.getOrderPosition(order)),
        isStored: (pool, progress) => topics.isProgressHeld(pool, progress),
        writePins: (pool, report) => writer.writePins(pool, report),
    });
    followHalts(gossip, rollouts);
    return rollouts;
}
