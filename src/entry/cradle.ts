/**
 * Parts of an entry that the container provides.
 */
import type { Agent, Dispatcher } from "undici";
import type { BillReplicaStore, BillWriter } from "../bills/index.js";
import type { ClaimClient, CollectorPool } from "../claims/index.js";
import type { Clock, RandomSource } from "../common/index.js";
import type { ConfigurationReader, SnapshotWriter } from "../configuration/index.js";
import type { ControlReader, LeaseFold, LeaseHolder, OrderChannel, RolloutFold } from "../control/index.js";
import type {
    AdmissionController,
    AnswerTimes,
    CallerHash,
    Evidence,
    Exposures,
    ModelChooser,
    RetryBudget,
    RolloutEvaluator,
    RolloutRouter,
    RunnerChooser,
} from "../decisions/index.js";
import type { EventBuffer, Journal } from "../events/index.js";
import type { Announcements } from "../fleet/index.js";
import type { LogClient } from "../log/index.js";
import type { FollowStream } from "../log/logAccess.js";
import type { Gossip, Membership, NodeIdentity, PeerClient, PeerServer } from "../membership/index.js";
import type { CrashWatch, Quarantine } from "../quarantine/index.js";
import type { RateLimits } from "../ratelimits/index.js";
import type { Reachability, RelayPeers, RelayServer, SharedReachability } from "../reachability/index.js";
import type { EntrySettings } from "../settings/index.js";
import type {
    AnswerObserver,
    EngineClient,
    EngineOrders,
    RatingClient,
    ServiceClient,
    UpstreamConnector,
} from "../upstream/index.js";
import type { AttemptRunner } from "./attemptRunner.js";
import type { CallerServer } from "./callerServer.js";
import type { ChatPipeline } from "./chatPipeline.js";
import type { ControlSnapshotWriter } from "./controlSnapshotWriter.js";
import type { CredentialFiles } from "./credentialFiles.js";
import type { EntryState } from "./entryState.js";
import type { Explanations } from "./explanations.js";
import type { LoadPoller } from "./loadPoller.js";
import type { Metrics } from "./metrics.js";
import type { OperatorServer } from "./operatorServer.js";
import type { OrderDriver } from "./orders/orderDriver.js";
import type { PlanRunner } from "./planRunner.js";
import type { ResumePipeline } from "./resumePipeline.js";
import type { RolloutDriver } from "./rolloutDriver.js";
import type { ServicePipeline } from "./servicePipeline.js";
import type { Sessions } from "./sessions.js";
import type { SharedState } from "./sharedState.js";
import type { StateFetcher } from "./stateFetcher.js";
import type { VersionPolicy } from "./versionPolicy.js";
import type { VmWatcher } from "./vmWatcher.js";

/** Represents all parts of an entry. */
export interface Cradle {
    readonly settings: EntrySettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly callerHash: CallerHash;
    readonly self: NodeIdentity;
    readonly eventBuffer: EventBuffer;
    readonly journal: Journal;
    readonly metrics: Metrics;
    /** Opens encrypted connections to upstreams; `undefined` if they are called without TLS. */
    readonly upstreamConnector: UpstreamConnector | undefined;
    /** Calls upstreams from this entry itself. */
    readonly directUpstreamAgent: Dispatcher;
    /** Calls upstreams, through other entries where this one reaches none. */
    readonly upstreamAgent: Dispatcher;
    readonly reachability: Reachability;
    readonly sharedReachability: SharedReachability;
    readonly relayPeers: RelayPeers;
    readonly relayServer: RelayServer;
    readonly platformAgent: Agent;
    readonly log: LogClient;
    readonly follow: FollowStream;
    readonly configuration: ConfigurationReader;
    readonly configurationSnapshotWriter: SnapshotWriter;
    readonly leases: LeaseFold;
    readonly rollouts: RolloutFold;
    readonly control: ControlReader;
    readonly controlSnapshotWriter: ControlSnapshotWriter;
    readonly lease: LeaseHolder;
    readonly peerClient: PeerClient;
    readonly peerServer: PeerServer;
    readonly credentialFiles: CredentialFiles;
    readonly upstreamCredentialFiles: CredentialFiles;
    readonly gossip: Gossip;
    readonly membership: Membership;
    readonly collectors: CollectorPool;
    readonly claims: ClaimClient;
    readonly sessions: Sessions;
    readonly bills: BillWriter;
    readonly billReplicas: BillReplicaStore;
    readonly evidence: Evidence;
    readonly answerTimes: AnswerTimes;
    readonly exposures: Exposures;
    readonly modelChooser: ModelChooser;
    readonly rolloutEvaluator: RolloutEvaluator;
    readonly rolloutRouter: RolloutRouter;
    readonly rolloutDriver: RolloutDriver;
    readonly engineOrders: EngineOrders;
    readonly orderChannel: OrderChannel;
    readonly orderDriver: OrderDriver;
    readonly runners: RunnerChooser;
    /** Admits chat completions, limited by the engines' capacity. */
    readonly admission: AdmissionController;
    /** Admits calls to plain services, limited by the services' capacity. */
    readonly serviceAdmission: AdmissionController;
    readonly retries: RetryBudget;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
    readonly crashWatch: CrashWatch;
    readonly rateLimits: RateLimits;
    readonly announcements: Announcements;
    readonly answerObserver: AnswerObserver;
    readonly engines: EngineClient;
    readonly services: ServiceClient;
    readonly ratings: RatingClient;
    readonly vmWatcher: VmWatcher;
    readonly loadPoller: LoadPoller;
    readonly sharedState: SharedState;
    readonly stateFetcher: StateFetcher;
    readonly entryState: EntryState;
    readonly explanations: Explanations;
    readonly versionPolicy: VersionPolicy;
    readonly attemptRunner: AttemptRunner;
    readonly planRunner: PlanRunner;
    readonly chatPipeline: ChatPipeline;
    readonly resumePipeline: ResumePipeline;
    readonly servicePipeline: ServicePipeline;
    readonly callerServer: CallerServer;
    readonly operatorServer: OperatorServer;
}

/** Creates parts of an entry from other parts. */
export type PartFactories = { readonly [Name in keyof Cradle]?: (cradle: Cradle) => Cradle[Name]; };
