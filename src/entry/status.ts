/**
 * Creates the status document for operators, and refreshes the gauges.
 */
import type { AdmissionController } from "../decisions/index.js";
import { newestProtocol } from "../membership/index.js";
import type { Cradle } from "./cradle.js";
import { controlLease } from "./parts/platformParts.js";

const millisecondsPerSecond = 1000;

/**
 * Creates the response to `GET /status`.
 * @param cradle - The entry's parts.
 */
export function createStatus(cradle: Cradle): object {
    const { configuration, control, membership, rollouts, leases, lease, bills, billReplicas } = cradle;
    return {
        entry: cradle.self.id,
        failureDomain: cradle.self.failureDomain,
        ready: cradle.entryState.isReady(),
        configurationOffset: configuration.getOffset(),
        configurationAgeMilliseconds: toFinite(configuration.getAge()),
        controlOffset: control.getOffset(),
        members: membership.getMembers().map(({ id, state, configurationOffset, failureDomain }) => ({
            id,
            state,
            configurationOffset,
            failureDomain,
        })),
        lease: { holder: leases.get(controlLease)?.holder, fence: leases.get(controlLease)?.fence },
        holdsLease: lease.getFencingToken() !== undefined,
        versions: configuration.getConfiguration().getVersions().map(version => ({
            id: version.id,
            status: version.status,
            halted: rollouts.isHalted(version.id),
        })),
        rollouts: rollouts.getRollouts(),
        waitingRollouts: cradle.rolloutDriver.getWaitingRollouts(),
        orders: cradle.orderDriver.getStatus(),
        halts: rollouts.getHalts(),
        limits: createLimits(cradle.admission),
        serviceLimits: createLimits(cradle.serviceAdmission),
        bills: { waiting: bills.getSize(), kept: billReplicas.getSize(), full: bills.isFull() },
        ownProtocol: newestProtocol,
        commonProtocol: membership.getCommonProtocol(),
        upstreams: cradle.runners.getSubset().map(({ id, pool, failureDomain }) => ({
            id,
            pool,
            failureDomain,
            ...cradle.runners.getReportedState(id),
        })),
        memory: process.memoryUsage(),
        processor: process.cpuUsage(),
    };
}

/**
 * Sets the gauges from the entry's current state.
 * @param cradle - The entry's parts.
 */
export function refreshGauges(cradle: Cradle): void {
    const { metrics, configuration, membership, bills, rateLimits } = cradle;
    metrics.configurationOffset.set(configuration.getOffset());
    metrics.configurationAge.set(toFinite(configuration.getAge()) / millisecondsPerSecond);
    metrics.limitedUpstreams.set(rateLimits.count());
    metrics.unappendedBills.set(bills.getSize());
    for (const state of ["alive", "suspect", "leaving", "dead"] as const) {
        metrics.members.set({ state }, membership.getMembers().filter(member => member.state === state).length);
    }
}

function toFinite(value: number): number {
    return Number.isFinite(value) ? Math.round(value) : Number.MAX_SAFE_INTEGER;
}

function createLimits(admission: AdmissionController) {
    return { running: admission.getInFlight(), waiting: admission.getQueueLength(), limit: admission.getLimit() };
}
