/**
 * Factories of the parts that serve callers and operators.
 */
import { ReadProgress, SuspensionClock } from "../../common/index.js";
import { BodyMemory } from "../../connections/index.js";
import type { RunUpstream } from "../../quarantine/index.js";
import { createCrashProbe, probeLife } from "../../reachability/index.js";
import type { Vm } from "../../world/index.js";
import { AttemptRunner } from "../attemptRunner.js";
import { CallerServer } from "../callerServer.js";
import { ChatPipeline } from "../chatPipeline.js";
import type { Cradle, PartFactories } from "../cradle.js";
import { Explanations } from "../explanations.js";
import { OperatorServer } from "../operatorServer.js";
import { PlanRunner } from "../planRunner.js";
import { RatingSampler } from "../ratingSampler.js";
import { ResumePipeline } from "../resumePipeline.js";
import { ServicePipeline } from "../servicePipeline.js";
import { createStatus, refreshGauges } from "../status.js";

const millisecondsPerSecond = 1000;
/** Maximum number of finished answers that this entry sends to the rating service in a second. */
const ratingsPerSecond = 20;
/** Part of the memory for bodies that requests with small ones may take beside it. */
const smallBodyShare = 0.5;
/** How long a caller may take to send its body, in milliseconds. */
const bodyTimeoutMilliseconds = 15_000;

/** Creates the parts that serve callers and operators. */
export const callerParts: PartFactories = {
    explanations: () => new Explanations(),
    attemptRunner: cradle =>
        new AttemptRunner({
            clock: cradle.clock,
            journal: cradle.journal,
            metrics: cradle.metrics,
            engines: cradle.engines,
            runners: cradle.runners,
            retries: cradle.retries,
            crashWatch: cradle.crashWatch,
            describeUpstream: vm => describeUpstream(cradle, vm),
            explanations: cradle.explanations,
            getConfiguration: () => cradle.configuration.getConfiguration(),
            isHalted: version => cradle.versionPolicy.isHalted(version),
            createSessionToken: (call, version) => cradle.sessions.createToken(call, version),
            signingKey: cradle.settings.session.signingKey,
            resumeGraceMilliseconds: cradle.settings.timing.resumeGraceMilliseconds,
        }),
    planRunner: cradle => {
        const sampler = new RatingSampler(cradle.clock, ratingsPerSecond);
        return new PlanRunner({
            clock: cradle.clock,
            journal: cradle.journal,
            metrics: cradle.metrics,
            attemptRunner: cradle.attemptRunner,
            ratings: cradle.ratings,
            evidence: cradle.evidence,
            answerTimes: cradle.answerTimes,
            bills: cradle.bills,
            explanations: cradle.explanations,
            entry: cradle.self.id,
            isSampled: () => sampler.take(),
        });
    },
    chatPipeline: cradle =>
        new ChatPipeline({
            clock: cradle.clock,
            journal: cradle.journal,
            getConfigurationAge: () => cradle.entryState.getConfigurationAge(),
            areRatingsAvailable: () => cradle.ratings.isAvailable(),
            admission: cradle.admission,
            modelChooser: cradle.modelChooser,
            answerTimes: cradle.answerTimes,
            versionPolicy: cradle.versionPolicy,
            sessions: cradle.sessions,
            planRunner: cradle.planRunner,
            explanations: cradle.explanations,
            canBill: () => !cradle.bills.isFull(),
        }),
    resumePipeline: cradle =>
        new ResumePipeline({
            clock: cradle.clock,
            journal: cradle.journal,
            engines: cradle.engines,
            bills: cradle.bills,
            getConfiguration: () => cradle.configuration.getConfiguration(),
            getUpstream: id => cradle.vmWatcher.getVm(id),
            signingKey: cradle.settings.session.signingKey,
            entry: cradle.self.id,
        }),
    servicePipeline: cradle =>
        new ServicePipeline({
            clock: cradle.clock,
            journal: cradle.journal,
            getConfigurationAge: () => cradle.entryState.getConfigurationAge(),
            admission: cradle.serviceAdmission,
            runners: cradle.runners,
            services: cradle.services,
            claims: cradle.claims,
            retries: cradle.retries,
            crashWatch: cradle.crashWatch,
            describeUpstream: vm => describeUpstream(cradle, vm),
            bills: cradle.bills,
            canBill: () => !cradle.bills.isFull(),
            entry: cradle.self.id,
        }),
    callerServer: cradle =>
        new CallerServer({
            clock: cradle.clock,
            readProgress: new ReadProgress({ clock: new SuspensionClock(cradle.clock) }),
            journal: cradle.journal,
            metrics: cradle.metrics,
            getConfiguration: () => cradle.configuration.getConfiguration(),
            chatPipeline: cradle.chatPipeline,
            resumePipeline: cradle.resumePipeline,
            servicePipeline: cradle.servicePipeline,
            addresses: createAddressDocumentOptions(cradle),
            maxBodyBytes: cradle.settings.limits.bodyBytes,
            bodyMemory: new BodyMemory({
                clock: cradle.clock,
                getMaxBytes: () => cradle.settings.limits.bodyMemoryBytes,
                getMaxSmallBytes: () => cradle.settings.limits.bodyMemoryBytes * smallBodyShare,
            }),
            bodyTimeoutMilliseconds,
            maxConnections: cradle.settings.limits.openRequests,
            isReady: () => cradle.entryState.isReady(),
        }),
    operatorServer: cradle =>
        new OperatorServer({
            metrics: cradle.metrics,
            refreshMetrics: () => refreshGauges(cradle),
            getStatus: () => createStatus(cradle),
            explanations: cradle.explanations,
            getEvents: () => cradle.eventBuffer.getLines(),
        }),
};

function createAddressDocumentOptions({ settings, membership, sharedReachability, vmWatcher }: Cradle) {
    const ownPort = settings.listen.callers.port;
    return {
        keepSeconds: settings.timing.addressesKeepMilliseconds / millisecondsPerSecond,
        getMembers: () => sharedReachability.preferReaching(membership.getAlive()),
        getCallerPort: (member: { readonly id: string; }) => vmWatcher.getVm(member.id)?.port ?? ownPort,
    };
}

/** Describes an engine or a service to the watch for crashed upstreams. */
function describeUpstream({ clock, reachability, services }: Cradle, vm: Vm): RunUpstream {
    const { id, pool } = vm;
    const isRefusing = createCrashProbe({ reachability, findUpstream: () => ({ id, pool }) });
    return {
        id,
        isRefusingConnections: () => isRefusing(`${vm.address}:${vm.port}`),
        getLife: () =>
            probeLife(vm, {
                clock,
                reachability,
                checkLiveness: async () => await services.isRunning(vm) ? "running" : "unanswered",
            }),
    };
}
