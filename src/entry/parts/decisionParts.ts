/**
 * The parts that decide: models, versions, runners, limits.
 */
import {
    AdmissionController,
    Evidence,
    Exposures,
    ModelChooser,
    RetryBudget,
    RolloutJudge,
    RolloutRouter,
    RunnerChooser,
} from "../../decisions/index.js";
import { events } from "../../events/index.js";
import { EngineClient, ServiceClient } from "../../upstream/index.js";
import type { Parts } from "../container.js";
import { LoadPoller } from "../loadPoller.js";
import { RolloutDriver } from "../rolloutDriver.js";
import { VersionPolicy } from "../versionPolicy.js";

const percent = 100;
/** Requests that an entry may have at work beyond the upstreams' present capacity, so that a growing one is used. */
const leastCapacity = 4;

/** Makes the parts that decide. */
export const decisionParts: Parts = {
    evidence: ({ clock }) => new Evidence({ clock }),
    exposures: () => new Exposures(),
    chooser: ({ evidence, random, clock }) =>
        new ModelChooser({ evidence, random, clock, schedule: step => setImmediate(step) }),
    judge: ({ rollouts, evidence, exposures, clock }) =>
        new RolloutJudge({ fold: rollouts, evidence, exposures, clock }),
    router: ({ self, rollouts, exposures, callerHash }) =>
        new RolloutRouter({ entry: self.id, fold: rollouts, exposures, hash: callerHash }),
    driver: ({ self, clock, journal, rollouts, judge, lease, membership, configuration, log, shared }) =>
        new RolloutDriver({
            entry: self.id,
            clock,
            journal,
            rollouts,
            judge,
            lease,
            getEntries: () => membership.getAlive().map(member => member.id),
            getSettledVersions: () => {
                const serving = configuration.getConfiguration().getVersions()
                    .filter(version => version.status === "serving")
                    .map(version => version.id);
                const finished = rollouts.getRollouts()
                    .filter(rollout => rollout.state === "finished")
                    .map(rollout => rollout.candidate);
                return [...new Set([...serving, ...finished])];
            },
            append: async record => (await log.append("control", record)).isOk(),
            spreadHalt: halt => shared.spreadHalt(halt),
        }),
    versions: ({ rollouts, router }) => new VersionPolicy({ rollouts, router }),
    runners: ({ self, clock, random, journal, settings }) =>
        new RunnerChooser({
            self: { failureDomain: self.failureDomain, region: self.region, subsetKey: self.id },
            clock,
            random,
            journal,
            options: { nearSubsetSize: settings.limits.subset },
        }),
    admission: ({ clock, random, journal }) => new AdmissionController({ clock, random, journal }),
    retries: ({ settings }) => new RetryBudget({ ratio: settings.limits.retryPercent / percent }),
    engines: ({ upstreamAgent, settings }) =>
        new EngineClient({
            dispatcher: upstreamAgent,
            headersTimeoutMilliseconds: settings.timing.upstreamConnectTimeoutMilliseconds,
        }),
    services: ({ upstreamAgent, settings }) =>
        new ServiceClient({ dispatcher: upstreamAgent, maximumAnswerBytes: settings.limits.bodyBytes }),
    poller: cradle =>
        new LoadPoller({
            engines: cradle.engines,
            runners: cradle.runners,
            intervalMilliseconds: cradle.settings.timing.loadIntervalMilliseconds,
            onRound: () => {
                const entries = Math.max(1, cradle.membership.getAlive().length);
                cradle.admission.setCapacity(Math.max(leastCapacity, cradle.runners.getOwnCapacity(entries)));
            },
            onLeaving: upstream => {
                cradle.runners.markLeaving(upstream.id);
                cradle.journal.write(events.upstreamLeaving, { upstream: upstream.id });
                cradle.shared.spreadLeaving(upstream.id);
            },
        }),
};
