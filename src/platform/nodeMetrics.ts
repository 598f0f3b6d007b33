/**
 * Reads a node's metrics.
 */
import type { NodeParts } from "./nodeParts.js";

/** Returns the metrics as text, after updating those that are sampled on each scrape. */
export async function readMetrics(parts: NodeParts): Promise<{ readonly type: string; readonly text: string; }> {
    const { metrics, topics, forwarder, membership, registry, rateLimits, lineWriter } = parts;
    const {
        quarantine,
        partQuarantine,
        announcements,
        reachability,
        rejectionLimit,
        replyBuffers,
        answerBuffers,
        bodyMemory,
        paces,
        rooms,
    } = parts;
    metrics.inFlight.set(forwarder.getInFlight());
    metrics.configurationVersion.set(topics.getRoutes()?.version ?? 0);
    metrics.configurationAge.set(topics.getConfigurationAge() / 1_000);
    metrics.members.set(membership.getAlive().length);
    metrics.upstreams.set([...registry.getAll()].length);
    metrics.warmingUpstreams.set(registry.warmUps.count());
    metrics.limitedUpstreams.set(rateLimits.count());
    metrics.rejectionLimitedUpstreams.set(rejectionLimit.count());
    metrics.restingUpstreams.set(announcements.countResting());
    metrics.unreachablePools.set(reachability.getUnreachable().length);
    metrics.evacuatedDomains.set(registry.countEvacuations());
    metrics.quarantined.set(quarantine.countQuarantined());
    metrics.quarantinedParts.set(partQuarantine.countQuarantined());
    metrics.heldAnswers.set(answerBuffers.getHeldBytes());
    metrics.heldBodies.set(bodyMemory.getReservedBytes());
    metrics.heldForCallers.set(replyBuffers.getHeldBytes());
    metrics.waitingCallers.set(replyBuffers.countBehind());
    for (const gauge of [metrics.slowestPace, metrics.fastestPace, metrics.knownPaces]) {
        gauge.reset();
    }
    for (const { pool, slowest, fastest, known } of paces.summarize()) {
        metrics.slowestPace.set({ pool }, slowest);
        metrics.fastestPace.set({ pool }, fastest);
        metrics.knownPaces.set({ pool }, known);
    }
    for (const pool of rooms.getPools()) {
        metrics.roomOccupancy.set({ pool }, rooms.getOccupancy(pool) ?? 0);
        metrics.roomShare.set({ pool }, rooms.getShare(pool) ?? 1);
        metrics.roomWaiting.set({ pool }, rooms.getWaiting(pool));
    }
    metrics.linesLeftOut.set(lineWriter.getDroppedCount());
    return { type: metrics.registry.contentType, text: await metrics.registry.metrics() };
}
