/**
 * Applies the records of the store's topics to routes, upstreams and the parts of a node.
 */
import type { Clock } from "../common/index.js";
import type { Journal, ThrottledJournal } from "../events/index.js";
import type { UpstreamRegistry } from "../fleet/index.js";
import type { ForwardingMetrics } from "../forwarding/index.js";
import type { FetchStateReply, FetchStateRequest } from "../generated/peer.js";
import type { MemberDirectory, Membership, NodeIdentity, PeerClient } from "../membership/index.js";
import type { Quarantine } from "../quarantine/index.js";
import type { RolloutOrder, RolloutProgress, Rollouts } from "../rollouts/index.js";
import type { RouteTable } from "../routing/index.js";
import {
    handleFetchState,
    type KeyedRecord,
    TopicFollower,
    type TopicFollowerOptions,
    TopicSources,
} from "../topics/index.js";
import { decodeProgress, decodeRolloutOrder } from "./decodeConfiguration.js";
import type { LiveSettings } from "./nodeSettings.js";
import { OperatorRecords } from "./operatorRecords.js";
import { StatusRecords } from "./statusRecords.js";
import type { StatusWriter } from "./statusWriter.js";
import type { StoreClient } from "./storeClient.js";
import { UpstreamRecords } from "./upstreamRecords.js";
import { recordKeys, topics } from "./wire.js";

/**
 * Long polls return after this time; an empty response confirms that the state is current. API keys need a confirmation every few
 * seconds. A node that receives nothing has to detect it early enough to read from another source before a change is due.
 */
const maxConfirmationMilliseconds = 1_000;
/** Share of the tightest bound after which a long poll returns without changes. */
const confirmationShare = 0.25;
/** Share of the tightest bound after which an unconfirmed state is stale. */
const staleShare = 0.85;
/** Duration of a long poll of the status topic. Members and the progress of roll-outs tolerate older data. */
const statusWaitMilliseconds = 2_000;
/** Time without confirmation after which the status topic is read from another source. */
const statusStaleMilliseconds = 5_000;
/** How long a node that has just started waits for its list of peers before it requests changes from the store. */
const peerDiscoveryTimeoutMilliseconds = 500;
/** Time in which the nodes of a site that starts for the first time have written their records. */
const firstRecordsMilliseconds = 1_000;
/**
 * Callers of a node that has just started wait for the first read for this share of the configuration bound. The store answers
 * in 4 ms, and in 240 ms when it is sixty times slower. Without an answer by then it is treated as unavailable, and callers are
 * refused at once.
 */
const firstReadTimeoutShare = 0.2;
/** Records expire after three missed heartbeats of 1.2 s; no record expires during a shorter outage. */
const outageMilliseconds = 3_000;
/**
 * A record that disappears this soon after an outage of the store may only have expired. Live upstreams register again within
 * two seconds of the store's return; one that is still missing after that has left.
 */
const expiryGraceMilliseconds = 2_000;
/**
 * Each change costs a read at every node, so a follower pauses after one to batch the next changes. The pause grows with the
 * site: 0.27 s with 90 nodes. The maximum is a tenth of the configuration bound of the known sites, which is 3 s.
 */
const pauseMillisecondsPerNode = 3;
const maxPauseMilliseconds = 300;

/** Options of `PlatformTopics`. */
export interface PlatformTopicsOptions {
    readonly liveSettings: LiveSettings;
    readonly suspensionClock: Clock;
    readonly journal: Journal;
    readonly throttledJournal: ThrottledJournal;
    readonly metrics: ForwardingMetrics;
    readonly store: StoreClient;
    readonly writer: StatusWriter;
    readonly registry: UpstreamRegistry;
    readonly directory: MemberDirectory;
    readonly self: NodeIdentity;
    readonly membership: Membership;
    readonly peerClient: PeerClient;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
    /** Returns the roll-outs of this node. */
    readonly getRollouts: () => Rollouts;
}

/** Follows the store's topics and applies their records to the parts of the node. */
export class PlatformTopics {
    readonly #options: PlatformTopicsOptions;
    readonly #operator: TopicFollower;
    readonly #upstreams: TopicFollower;
    readonly #status: TopicFollower;
    readonly #followers = new Map<string, TopicFollower>();
    readonly #operatorRecords: OperatorRecords;
    readonly #sources: TopicSources;
    readonly #writer: StatusWriter;
    #startedAt = Number.NEGATIVE_INFINITY;

    constructor(options: PlatformTopicsOptions) {
        this.#options = options;
        this.#writer = options.writer;
        this.#operatorRecords = new OperatorRecords(options);
        const { self, membership, peerClient, suspensionClock, liveSettings } = options;
        this.#sources = new TopicSources({
            self,
            membership,
            peerClient,
            clock: suspensionClock,
            getSeeds: () => liveSettings.get().seeds,
        });
        const { configurationMilliseconds, drainMilliseconds, evacuationMilliseconds } =
            options.liveSettings.get().bounds;
        const minBoundMilliseconds = Math.min(
            configurationMilliseconds,
            drainMilliseconds,
            evacuationMilliseconds ?? Number.POSITIVE_INFINITY,
        );
        const shortTiming = {
            waitMilliseconds: Math.min(maxConfirmationMilliseconds, minBoundMilliseconds * confirmationShare),
            staleMilliseconds: minBoundMilliseconds * staleShare,
        };
        const statusTiming = { waitMilliseconds: statusWaitMilliseconds, staleMilliseconds: statusStaleMilliseconds };
        const waitForPeers = async (): Promise<void> => {
            await this.#status.waitUntilLoaded(peerDiscoveryTimeoutMilliseconds);
            await this.#waitWhileAlone();
        };
        this.#operator = this.#createFollower(
            topics.operator,
            { ...shortTiming, waitForPeers },
            changed => this.#operatorRecords.apply(changed),
        );
        const upstreamRecords = new UpstreamRecords(options);
        this.#upstreams = this.#createFollower(
            topics.upstreams,
            { ...shortTiming, waitForPeers },
            changed => upstreamRecords.apply(changed, this.#getExpiryGrace()),
        );
        const statusRecords = new StatusRecords(options);
        this.#status = this.#createFollower(
            topics.status,
            {
                ...statusTiming,
                waitForPeers: () => this.#waitWhileAlone(),
                onReturned: () => void this.#writer.restore(this.#status.state),
            },
            changed => statusRecords.apply(changed),
        );
        this.#followers.set(topics.operator, this.#operator);
        this.#followers.set(topics.upstreams, this.#upstreams);
        this.#followers.set(topics.status, this.#status);
    }

    /** Starts to follow the topics and announces this node. */
    start(): void {
        this.#startedAt = this.#options.suspensionClock.monotonic();
        this.#operator.start();
        this.#upstreams.start();
        this.#status.start();
        void this.#writer.announce(this.#status.state);
    }

    /**
     * Waits until all topics have been read once, or until the timeout. Without the wait, callers of a node that has just started
     * would be refused milliseconds before it can serve them and with no attempts left, or they would be served by a version that
     * their sessions have already left.
     * @returns Undefined when there is nothing to wait for.
     */
    waitForFirstRead(): Promise<unknown> | undefined {
        const elapsed = this.#options.suspensionClock.monotonic() - this.#startedAt;
        const remainingMilliseconds =
            this.#options.liveSettings.get().bounds.configurationMilliseconds * firstReadTimeoutShare - elapsed;
        const followers = [this.#operator, this.#upstreams, this.#status];
        if (remainingMilliseconds <= 0 || followers.every(follower => follower.state.isLoaded())) {
            return undefined;
        }
        return Promise.all(followers.map(follower => follower.waitUntilLoaded(remainingMilliseconds)));
    }

    /** Stops following the topics. */
    stop(): void {
        this.#writer.stop();
        for (const follower of [this.#operator, this.#upstreams, this.#status]) {
            follower.stop();
        }
    }

    /** Adds a listener for new route tables. */
    onRoutes(listener: () => void): void {
        this.#operatorRecords.onRoutes(listener);
    }

    /** Returns the route table in force, or undefined before the first one. */
    getRoutes(): RouteTable | undefined {
        return this.#operatorRecords.getRoutes();
    }

    /** Returns the time since the configuration was last confirmed to be the latest, in milliseconds. */
    getConfigurationAge(): number {
        return this.#operator.getAge();
    }

    /** Returns the time since the list of upstreams was last confirmed to be the latest, in milliseconds. */
    getUpstreamsAge(): number {
        return this.#upstreams.getAge();
    }

    /** Returns the time since the list of nodes was last confirmed to be the latest, in milliseconds. */
    getMembersAge(): number {
        return this.#status.getAge();
    }

    /** Returns the newest position of the record of an order, which grows when the store comes back from an older copy. */
    getOrderPosition(order: RolloutOrder): number {
        const record = this.#operator.state.get(`${recordKeys.rolloutPrefix}${order.pool}`);
        const isSame = record?.value !== undefined
            && decodeRolloutOrder(record.value, record.position).match(
                ({ version }) => version === order.version,
                () => false,
            );
        return isSame ? Math.max(order.id, record.position) : order.id;
    }

    /** Returns whether the store holds the progress of a roll-out, or a later one. */
    isProgressHeld(pool: string, progress: RolloutProgress): boolean {
        const record = this.#status.state.getHeld(`${recordKeys.progressPrefix}${pool}`);
        return record?.value !== undefined && decodeProgress(record.value).match(
            held => held.order > progress.order || held.order === progress.order && held.step >= progress.step,
            () => false,
        );
    }

    /**
     * Answers a peer that reads a topic through this node.
     * @param request - The peer's request.
     */
    answerPeer(request: FetchStateRequest): Promise<FetchStateReply> {
        const follower = this.#followers.get(request.stream);
        if (follower === undefined) {
            throw new Error(`The topic ${request.stream} is not followed by this node.`);
        }
        return handleFetchState(follower, request, this.#options.suspensionClock);
    }

    /**
     * Waits for a while if this node knows no other one, as when a whole site starts for the first time. Without the wait, every node
     * would read the store on its own until the records of the others are written one by one.
     */
    async #waitWhileAlone(): Promise<void> {
        if (this.#options.membership.getMembers().length <= 1) {
            await new Promise(resolve => setTimeout(resolve, firstRecordsMilliseconds));
        }
    }

    #createFollower(
        topic: string,
        options: Pick<TopicFollowerOptions, "waitMilliseconds" | "staleMilliseconds" | "waitForPeers" | "onReturned">,
        onChanges: (changed: readonly KeyedRecord[]) => void,
    ): TopicFollower {
        const { suspensionClock, journal, store } = this.#options;
        const storeReader = store.createReader(topic);
        return new TopicFollower({
            name: topic,
            clock: suspensionClock,
            journal,
            pickReader: fallbackReads => {
                const isLoaded = this.#followers.get(topic)?.state.isLoaded() === true;
                return this.#sources.pick({ topic, storeReader, isLoaded, fallbackReads });
            },
            onChanges,
            outageMilliseconds,
            getPause: () =>
                Math.min(maxPauseMilliseconds, pauseMillisecondsPerNode * this.#options.membership.getMembers().length),
            ...options,
        });
    }

    /**
     * Returns how long an upstream still counts as registered after its record has disappeared, in milliseconds. The time starts
     * at the end of the outage. If it started at the removal, an upstream that has really left would receive requests for too
     * long.
     */
    #getExpiryGrace(): number {
        return Math.max(0, expiryGraceMilliseconds - this.#upstreams.getTimeSinceOutage());
    }
}
