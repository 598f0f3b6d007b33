/**
 * Factories of the parts that choose models, versions and runners, and enforce limits.
 */
import { OrderChannel } from "../../control/index.js";
import {
    AdmissionController,
    AnswerTimes,
    createRolloutPolicy,
    Evidence,
    Exposures,
    ModelChooser,
    RestLimit,
    RetryBudget,
    RolloutEvaluator,
    RolloutRouter,
    RunnerChooser,
} from "../../decisions/index.js";
import { Announcements } from "../../fleet/index.js";
import { createRateShares } from "../../ratelimits/index.js";
import { AnswerObserver, EngineClient, EngineOrders, ServiceClient } from "../../upstream/index.js";
import type { VmRole } from "../../world/index.js";
import type { Cradle, PartFactories } from "../cradle.js";
import { LoadPoller } from "../loadPoller.js";
import { OrderDriver } from "../orders/orderDriver.js";
import { RolloutDriver } from "../rolloutDriver.js";
import { VersionPolicy } from "../versionPolicy.js";

const percent = 100;
const millisecondsPerSecond = 1000;
/**
 * Minimum number of requests that an entry may have in flight, even above the upstreams' current capacity, so that
 * growing capacity is used.
 */
const minCapacity = 4;
/** Fraction of its successor's runners that a version needs to take over most of the successor's callers. */
const minRunnerFraction = 0.5;

/** Creates the parts that make decisions. */
export const decisionParts: PartFactories = {
    evidence: ({ clock }) => new Evidence({ clock }),
    answerTimes: ({ clock }) => new AnswerTimes(clock),
    exposures: () => new Exposures(),
    modelChooser: ({ evidence, random, clock }) =>
        new ModelChooser({ evidence, random, clock, schedule: step => setImmediate(step) }),
    rolloutEvaluator: ({ rollouts, evidence, exposures, clock, configuration, settings }) =>
        new RolloutEvaluator({
            fold: rollouts,
            evidence,
            exposures,
            clock,
            getPolicy: model =>
                createRolloutPolicy(configuration.getConfiguration().getRollout(model), {
                    changeWindowMilliseconds: millisecondsPerSecond * settings.timing.settledWindowSeconds,
                }),
        }),
    rolloutRouter: ({ self, rollouts, exposures, callerHash, rolloutEvaluator, runners }) =>
        new RolloutRouter({
            entry: self.id,
            fold: rollouts,
            exposures,
            hash: callerHash,
            // Where the baseline has been unloaded from most runners, holding the candidate back would overload the
            // remaining runners, and callers would be refused because of a mere suspicion.
            isHeld: ({ candidate, baseline }) =>
                rolloutEvaluator.isHeld(candidate)
                && runners.countRunners(baseline) >= minRunnerFraction * runners.countRunners(candidate),
        }),
    engineOrders: ({ upstreamAgent }) => new EngineOrders(upstreamAgent),
    orderChannel: ({ lease, clock, journal }) =>
        new OrderChannel({ getFencingToken: () => lease.getFencingToken(), clock, journal }),
    orderDriver: cradle =>
        new OrderDriver({
            clock: cradle.clock,
            journal: cradle.journal,
            configuration: cradle.configuration,
            rollouts: cradle.rollouts,
            evidence: cradle.evidence,
            lease: cradle.lease,
            runners: cradle.runners,
            engines: cradle.engineOrders,
            channel: cradle.orderChannel,
            getVms: () => cradle.vmWatcher.getVms(),
            intervalMilliseconds: cradle.settings.timing.orderIntervalMilliseconds,
            subsetSize: cradle.settings.limits.subset,
        }),
    rolloutDriver: (
        {
            self,
            clock,
            journal,
            rollouts,
            rolloutEvaluator,
            lease,
            membership,
            configuration,
            log,
            sharedState,
            orderDriver,
        },
    ) => new RolloutDriver({
        entry: self.id,
        clock,
        journal,
        rollouts,
        evaluator: rolloutEvaluator,
        lease,
        getEntries: () => membership.getAlive().map(member => member.id),
        getStableVersions: () => {
            const serving = configuration.getConfiguration().getVersions()
                .filter(version => version.status === "serving")
                .map(version => version.id);
            const finished = rollouts.getRollouts()
                .filter(rollout => rollout.state === "finished")
                .map(rollout => rollout.candidate);
            return [...new Set([...serving, ...finished])];
        },
        append: async record => (await log.append("control", record)).isOk(),
        broadcastHalt: halt => sharedState.broadcastHalt(halt),
        isLoaded: version => orderDriver.isReady(version),
    }),
    versionPolicy: ({ rollouts, rolloutRouter }) => new VersionPolicy({ rollouts, router: rolloutRouter }),
    announcements: cradle => {
        const announcements = new Announcements({ clock: cradle.clock, journal: cradle.journal });
        announcements.onLeaving(({ id }) => {
            cradle.runners.markLeaving(id);
            cradle.sharedState.broadcastLeaving(id);
        });
        return announcements;
    },
    answerObserver: ({ clock, rateLimits, announcements }) =>
        new AnswerObserver({
            clock,
            onRate: statement => rateLimits.observe(statement),
            onAnnouncement: (upstream, announcement) => announcements.observe(upstream, announcement),
        }),
    runners: ({ self, clock, random, journal, settings, membership, rateLimits, announcements }) =>
        new RunnerChooser({
            self: { failureDomain: self.failureDomain, region: self.region, subsetKey: self.id },
            clock,
            random,
            journal,
            options: { nearSubsetSize: settings.limits.subset },
            rateShares: createRateShares({ clock, random, self: self.id, membership, rateLimits }),
            restLimit: new RestLimit({ clock, random, getRestEnd: upstream => announcements.getRestEnd(upstream) }),
        }),
    admission: ({ clock, random, journal }) => new AdmissionController({ clock, random, journal }),
    serviceAdmission: ({ clock, random, journal }) => new AdmissionController({ clock, random, journal }),
    retries: ({ settings }) => new RetryBudget({ ratio: settings.limits.retryPercent / percent }),
    engines: ({ upstreamAgent, settings, answerObserver }) =>
        new EngineClient({
            dispatcher: upstreamAgent,
            headersTimeoutMilliseconds: settings.timing.upstreamConnectTimeoutMilliseconds,
            answerObserver,
        }),
    services: ({ upstreamAgent, settings, answerObserver }) =>
        new ServiceClient({ dispatcher: upstreamAgent, maxAnswerBytes: settings.limits.bodyBytes, answerObserver }),
    loadPoller: cradle =>
        new LoadPoller({
            clock: cradle.clock,
            engines: cradle.engines,
            runners: cradle.runners,
            intervalMilliseconds: cradle.settings.timing.loadIntervalMilliseconds,
            pollsPerSecond: cradle.settings.limits.loadPolls,
            onAnswer: ({ pool }) => cradle.reachability.markSeen(pool),
            onFailure: ({ pool }) => cradle.reachability.addConnectFailure(pool),
            onRound: () => {
                // With a common limit, the slots of idle services would admit chats for which no engine has a slot.
                // These would wait at the engines, beyond the target for the time to first token, and delay more urgent
                // ones.
                cradle.admission.setCapacity(getOwnCapacity(cradle, "runner"));
                cradle.serviceAdmission.setCapacity(getOwnCapacity(cradle, "service"));
            },
            onLeaving: upstream => cradle.announcements.markLeaving(upstream, "answer"),
        }),
};

function getOwnCapacity({ membership, runners }: Cradle, role: VmRole): number {
    const entries = Math.max(1, membership.getAlive().length);
    return Math.max(minCapacity, runners.getOwnCapacity(entries, role));
}
