/**
 * Defines the parts of a node on the platform.
 */
import type { Dispatcher } from "undici";
import type { Clock, RandomSource, ReadProgress, StallWatch } from "../common/index.js";
import type { BodyMemory } from "../connections/index.js";
import type {
    PoolRooms,
    RejectionLimit,
    RestLimit,
    SendLimit,
    StatedRateLimit,
    UpstreamPicker,
    WindowedRetryBudget,
} from "../decisions/index.js";
import type { Journal, LineWriter, ThrottledJournal } from "../events/index.js";
import type { Announcements, RegisteredUpstream, UpstreamRegistry } from "../fleet/index.js";
import type {
    AnswerBuffers,
    Attempts,
    Forwarder,
    ForwardingMetrics,
    ReplyBuffers,
    Shutdown,
    UpstreamObserver,
} from "../forwarding/index.js";
import type { Gossip, MemberDirectory, Membership, NodeIdentity, PeerClient, PeerServer } from "../membership/index.js";
import type { RunnerPaces } from "../pace/index.js";
import type { CrashWatch, Quarantine } from "../quarantine/index.js";
import type { RateLimits } from "../ratelimits/index.js";
import type { Reachability, RelayPeers, RelayServer, SharedReachability } from "../reachability/index.js";
import type { Rollouts } from "../rollouts/index.js";
import type { CallerServer } from "./callerServer.js";
import type { LiveSettings, NodeSettings } from "./nodeSettings.js";
import type { PlatformTopics } from "./platformTopics.js";
import type { SiteServer } from "./siteServer.js";
import type { StatusWriter } from "./statusWriter.js";
import type { StoreClient } from "./storeClient.js";
import type { UpstreamClient } from "./upstreamClient.js";

/** The parts of a node. */
export interface NodeParts {
    /** The settings at the start, such as name and addresses, which a running node does not change. */
    readonly settings: NodeSettings;
    /** The settings in force. */
    readonly liveSettings: LiveSettings;
    readonly clock: Clock;
    /** Also advances while the machine is suspended. Used for the age of cached state. */
    readonly suspensionClock: Clock;
    readonly random: RandomSource;
    /** Up to when the node has read what arrived at its connections. */
    readonly readProgress: ReadProgress;
    /** Notices when requests may have waited unread. */
    readonly stallWatch: StallWatch;
    readonly lineWriter: LineWriter;
    readonly journal: Journal;
    readonly throttledJournal: ThrottledJournal;
    readonly metrics: ForwardingMetrics;
    readonly self: NodeIdentity;
    readonly store: StoreClient;
    readonly writer: StatusWriter;
    readonly topics: PlatformTopics;
    readonly announcements: Announcements;
    readonly registry: UpstreamRegistry;
    readonly peerClient: PeerClient;
    readonly peerServer: PeerServer;
    readonly gossip: Gossip;
    readonly membership: Membership;
    readonly directory: MemberDirectory;
    readonly rateLimits: RateLimits;
    readonly rateShares: StatedRateLimit;
    readonly rejectionLimit: RejectionLimit;
    readonly restLimit: RestLimit<RegisteredUpstream>;
    readonly sendLimit: SendLimit<RegisteredUpstream>;
    /** How long upstreams take, learned by all nodes. */
    readonly paces: RunnerPaces;
    readonly picker: UpstreamPicker;
    readonly rooms: PoolRooms;
    readonly budgets: (pool: string) => WindowedRetryBudget;
    readonly reachability: Reachability;
    readonly sharedReachability: SharedReachability;
    readonly relayPeers: RelayPeers;
    readonly relayServer: RelayServer;
    /** Sends requests to upstreams through other nodes. */
    readonly relayInterceptor: Dispatcher.DispatcherComposeInterceptor;
    readonly observer: UpstreamObserver;
    readonly upstreamClient: UpstreamClient;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
    readonly crashWatch: CrashWatch;
    readonly rollouts: Rollouts;
    readonly shutdown: Shutdown;
    readonly attempts: Attempts;
    readonly forwarder: Forwarder;
    /** What is held of answers that are read completely before they are passed on. */
    readonly answerBuffers: AnswerBuffers;
    /** The memory that bodies of callers' requests take. */
    readonly bodyMemory: BodyMemory;
    /** What waits for callers that read slowly. */
    readonly replyBuffers: ReplyBuffers;
    readonly callerServer: CallerServer;
    readonly siteServer: SiteServer;
}
