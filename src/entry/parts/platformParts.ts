/**
 * Factories of the parts that communicate with the platform: log, configuration, control stream and VM list.
 */
import { ConfigurationReader, SnapshotWriter } from "../../configuration/index.js";
import { createWatchedAgent } from "../../connections/index.js";
import { ControlReader, LeaseFold, LeaseHolder, RolloutFold } from "../../control/index.js";
import { createDebugWriter, EventBuffer, Journal } from "../../events/index.js";
import { LogClient, LogFollower } from "../../log/index.js";
import { RatingClient, UpstreamConnector, VmListClient } from "../../upstream/index.js";
import { ControlSnapshotWriter } from "../controlSnapshotWriter.js";
import type { PartFactories } from "../cradle.js";
import { CredentialFiles, readCredentials } from "../credentialFiles.js";
import { createMetrics } from "../metrics.js";
import { VmWatcher } from "../vmWatcher.js";

/** Maximum number of events that an entry stores for time lines. */
const eventBufferCapacity = 20_000;
/** Name of the lease whose holder moves roll-outs and writes snapshots. */
export const controlLease = "control";

/** Creates the parts that communicate with the platform. */
export const platformParts: PartFactories = {
    self: ({ settings }) => ({
        id: settings.process.name,
        address: settings.listen.peers.host,
        peerPort: settings.listen.peers.port,
        failureDomain: settings.process.failureDomain,
        region: settings.process.region,
    }),
    eventBuffer: () => new EventBuffer(eventBufferCapacity),
    journal: ({ settings, clock, eventBuffer }) => {
        const writeDebug = createDebugWriter();
        return new Journal({
            process: settings.process.name,
            clock,
            write: line => {
                eventBuffer.add(line);
                writeDebug(line);
            },
        });
    },
    metrics: () => createMetrics(),
    platformAgent: ({ settings }) => createWatchedAgent(settings.timing.upstreamConnectTimeoutMilliseconds),
    upstreamConnector: ({ settings }) => {
        const credentials = readCredentials(settings.upstreamTls);
        const { upstreamConnectTimeoutMilliseconds } = settings.timing;
        return credentials && new UpstreamConnector(credentials, upstreamConnectTimeoutMilliseconds);
    },
    upstreamCredentialFiles: ({ settings, upstreamConnector, journal }) =>
        new CredentialFiles({
            settings: settings.upstreamTls,
            journal,
            onChange: credentials => upstreamConnector?.setCredentials(credentials),
        }),
    log: cradle =>
        new LogClient({
            url: cradle.settings.platform.logUrl,
            clock: cradle.clock,
            // Evaluated at each append: membership itself needs no log, and is created after it.
            getNewestFormat: () => cradle.membership.getCommonProtocol(),
            timeoutMilliseconds: cradle.settings.timing.logTimeoutMilliseconds,
        }),
    follow: ({ settings, log, clock, journal }) => options =>
        new LogFollower({
            ...options,
            client: log,
            clock,
            journal,
            waitMilliseconds: settings.timing.logWaitMilliseconds,
        }),
    configuration: ({ settings, log, clock, journal, membership }) =>
        new ConfigurationReader({
            client: log,
            clock,
            journal,
            waitMilliseconds: settings.timing.logWaitMilliseconds,
            onChange: configuration => membership.setConfigurationOffset(configuration.getOffset()),
        }),
    configurationSnapshotWriter: ({ settings, log, configuration, clock, journal }) =>
        new SnapshotWriter({
            client: log,
            reader: configuration,
            clock,
            writer: settings.process.name,
            intervalMilliseconds: settings.timing.snapshotIntervalMilliseconds,
            journal,
        }),
    leases: () => new LeaseFold(),
    rollouts: ({ leases }) =>
        new RolloutFold({ isCurrentFencingToken: fence => leases.isCurrentFencingToken(controlLease, fence) }),
    control: ({ follow, leases, rollouts }) => new ControlReader({ follow, leases, rollouts }),
    lease: ({ settings, log, leases, clock, journal, membership }) =>
        new LeaseHolder({
            name: controlLease,
            holder: settings.process.name,
            append: (stream, record) => log.append(stream, record),
            fold: leases,
            clock,
            journal,
            termMilliseconds: settings.timing.leaseTermMilliseconds,
            driftMilliseconds: settings.timing.leaseDriftMilliseconds,
            isCandidate: () => membership.get(settings.process.name)?.state === "alive",
        }),
    controlSnapshotWriter: ({ settings, clock, control, configurationSnapshotWriter, lease, log }) =>
        new ControlSnapshotWriter({
            clock,
            control,
            configurationSnapshotWriter,
            lease,
            append: (stream, record) => log.append(stream, record),
            writer: settings.process.name,
            intervalMilliseconds: settings.timing.snapshotIntervalMilliseconds,
        }),
    ratings: ({ settings, platformAgent }) =>
        new RatingClient({
            url: settings.platform.ratingUrl,
            dispatcher: platformAgent,
            timeoutMilliseconds: settings.timing.upstreamIdleTimeoutMilliseconds,
        }),
    vmWatcher: ({ settings, platformAgent, membership, runners }) =>
        new VmWatcher({
            client: new VmListClient({
                url: settings.platform.vmListUrl,
                dispatcher: platformAgent,
                timeoutMilliseconds: settings.timing.logTimeoutMilliseconds,
            }),
            intervalMilliseconds: settings.timing.vmListIntervalMilliseconds,
            onList: vms => {
                membership.setVms(vms);
                runners.setUpstreams(vms);
            },
        }),
};
