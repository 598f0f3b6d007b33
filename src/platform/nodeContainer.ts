/**
 * Creates the container of a node on the platform, which creates each part from others.
 */
import { asFunction, type AwilixContainer, createContainer, InjectionMode, Lifetime } from "awilix";
import { RandomSource, ReadProgress, StallWatch, SuspensionClock, systemClock } from "../common/index.js";
import { getConnectionShare, RestLimit, UpstreamPicker } from "../decisions/index.js";
import { events, Journal, LineWriter, ThrottledJournal } from "../events/index.js";
import { Announcements, UpstreamRegistry } from "../fleet/index.js";
import { createForwardingMetrics, Forwarder, Shutdown } from "../forwarding/index.js";
import {
    chooseAddresses,
    Gossip,
    MemberDirectory,
    Membership,
    PeerClient,
    type PeerHandlers,
    PeerServer,
} from "../membership/index.js";
import {
    CrashWatch,
    createSharedQuarantine,
    partPolicy,
    type Quarantine,
    requestPolicy,
    type SuspicionPolicy,
} from "../quarantine/index.js";
import { createRateShares, createSharedRateLimits } from "../ratelimits/index.js";
import { CallerServer } from "./callerServer.js";
import {
    createAnswerBuffers,
    createAttempts,
    createBodyMemory,
    createBudgets,
    createObserver,
    createPaces,
    createRejectionLimit,
    createReplyBuffers,
    createRooms,
    createSendLimit,
    shareRetentionMilliseconds,
} from "./forwardingParts.js";
import { readMetrics } from "./nodeMetrics.js";
import type { NodeParts } from "./nodeParts.js";
import { LiveSettings, type NodeSettings } from "./nodeSettings.js";
import { PlatformTopics } from "./platformTopics.js";
import {
    createNodeRelayInterceptor,
    createReachability,
    createRelayPeers,
    createRelayServer,
    createSharedReachability,
} from "./relayParts.js";
import { createRollouts } from "./rolloutParts.js";
import { SiteServer } from "./siteServer.js";
import { StatusWriter } from "./statusWriter.js";
import { StoreClient } from "./storeClient.js";
import { UpstreamClient } from "./upstreamClient.js";
import { recordKeys } from "./wire.js";

/**
 * Interval between two gossip exchanges that a node starts. With 150 ms, the failure of a node is detected within two seconds.
 */
const gossipIntervalMilliseconds = 150;
/** Maximum size of the values in one gossip exchange. */
const maxGossipBytes = 64 * 1024;
/** API keys are refused this long before the revocation bound, because a checked request may still be in transit for a moment. */
const revocationMarginMilliseconds = 300;
/** Maximum age of the configuration at which unknown routes and keys are refused as final, as a share of its bound. */
const maxDenialAgeShare = 0.75;
/** Turns of the event loop from this length on are logged. */
const minLoggedTurnMilliseconds = 250;
/** Connections that a node may open to an upstream of a pool that is not configured. */
const defaultConnections = 4;

type PartFactories = { readonly [Name in keyof NodeParts]: (parts: NodeParts) => NodeParts[Name]; };

/**
 * Creates the container of a node. Each part is created once, on first use.
 * @param settings - The node's validated settings.
 */
export function createNodeContainer(settings: NodeSettings): AwilixContainer<NodeParts> {
    const container = createContainer<NodeParts>({ injectionMode: InjectionMode.PROXY, strict: true });
    for (const [name, factory] of Object.entries({ ...partFactories, settings: () => settings })) {
        container.register(
            name,
            asFunction(factory as (parts: NodeParts) => unknown, { lifetime: Lifetime.SINGLETON }),
        );
    }
    return container;
}

const partFactories: PartFactories = {
    settings: ({ settings }) => settings,
    liveSettings: ({ settings }) => new LiveSettings(settings),
    clock: () => systemClock,
    suspensionClock: () => new SuspensionClock(systemClock),
    random: () => new RandomSource(Math.floor(Math.random() * 2 ** 31)),
    readProgress: parts => createReadProgress(parts),
    stallWatch: ({ suspensionClock, readProgress, throttledJournal }) =>
        new StallWatch({
            clock: suspensionClock,
            readProgress,
            onStall: milliseconds =>
                throttledJournal.write(events.processBehind, "", { turnMs: Math.round(milliseconds) }),
        }),
    lineWriter: ({ clock }) => new LineWriter({ clock }),
    journal: ({ settings, clock, lineWriter }) =>
        new Journal({ process: settings.name, clock, write: line => lineWriter.write(line) }),
    throttledJournal: ({ clock, journal }) => new ThrottledJournal({ clock, journal }),
    metrics: () => createForwardingMetrics(),
    self: ({ settings }) => ({
        id: settings.address,
        address: settings.address,
        peerPort: settings.listen.peers.port,
        failureDomain: settings.failureDomain,
        region: settings.region,
    }),
    store: ({ settings, suspensionClock }) => new StoreClient(settings.store, suspensionClock),
    topics: parts =>
        new PlatformTopics({
            liveSettings: parts.liveSettings,
            suspensionClock: parts.suspensionClock,
            journal: parts.journal,
            throttledJournal: parts.throttledJournal,
            metrics: parts.metrics,
            store: parts.store,
            writer: parts.writer,
            registry: parts.registry,
            directory: parts.directory,
            self: parts.self,
            membership: parts.membership,
            peerClient: parts.peerClient,
            quarantine: parts.quarantine,
            partQuarantine: parts.partQuarantine,
            getRollouts: () => parts.rollouts,
        }),
    writer: ({ liveSettings, journal, store, self }) => new StatusWriter({ liveSettings, journal, store, self }),
    announcements: ({ clock, journal }) => new Announcements({ clock, journal }),
    registry: ({ clock, announcements }) => new UpstreamRegistry(clock, announcements),
    peerClient: () => new PeerClient(),
    peerServer: parts => {
        const { host, port } = parts.settings.listen.peers;
        return new PeerServer({ address: host, port, journal: parts.journal, handlers: createPeerHandlers(parts) });
    },
    gossip: ({ self, clock, random, journal, peerClient }) =>
        new Gossip({
            self,
            clock,
            random,
            journal,
            transport: peerClient.createGossipTransport(),
            periodMilliseconds: gossipIntervalMilliseconds,
            maxValueBytesPerMessage: maxGossipBytes,
        }),
    membership: ({ self, gossip, clock, journal }) => new Membership({ self, gossip, clock, journal }),
    directory: ({ membership }) => new MemberDirectory(vms => membership.setVms(vms)),
    rateLimits: ({ clock, journal, gossip }) => createSharedRateLimits({ clock, journal, gossip }),
    rateShares: ({ clock, random, self, membership, rateLimits }) =>
        createRateShares({ clock, random, self: self.id, membership, rateLimits }),
    rejectionLimit: parts => createRejectionLimit(parts),
    restLimit: ({ clock, random, announcements }) =>
        new RestLimit({ clock, random, getRestEnd: upstream => announcements.getRestEnd(upstream) }),
    sendLimit: parts => createSendLimit(parts),
    paces: parts => createPaces(parts),
    picker: ({ clock, settings, random, journal, self, sendLimit, rateShares, paces }) =>
        new UpstreamPicker({
            clock,
            self: self.id,
            failureDomain: settings.failureDomain,
            random,
            onEject: (upstream, milliseconds) => journal.write(events.upstreamEjected, { upstream, milliseconds }),
            isAdmitted: upstream => sendLimit.isAdmitted(upstream),
            rateShares,
            paces,
        }),
    rooms: parts => createRooms(parts),
    budgets: parts => createBudgets(parts),
    reachability: parts => createReachability(parts),
    sharedReachability: parts => createSharedReachability(parts),
    relayPeers: parts => createRelayPeers(parts),
    relayServer: parts => createRelayServer(parts),
    relayInterceptor: parts => createNodeRelayInterceptor(parts),
    observer: parts => createObserver(parts),
    upstreamClient: parts => {
        const { topics, membership, reachability, relayInterceptor, registry, announcements, restLimit } = parts;
        const { observer, throttledJournal, metrics } = parts;
        return new UpstreamClient({
            getConnectionLimit: pool => {
                const limit = topics.getRoutes()?.getPool(pool)?.maxConnections;
                return limit === undefined
                    ? defaultConnections
                    : getConnectionShare(limit, membership.getPossiblySending(shareRetentionMilliseconds).length);
            },
            getRelay: pool => reachability.isUnreachable(pool) ? relayInterceptor : undefined,
            onConnectFailure: ({ pool }) => reachability.addConnectFailure(pool),
            onOversized: ({ id: upstream }, bytes) => {
                metrics.oversizedAnswers.inc({ bound: "head" });
                throttledJournal.write(events.answerOversized, upstream, { upstream, bound: "head", bytes });
            },
            mayReceive: upstream => registry.isAvailable(upstream) && announcements.getRestMilliseconds(upstream) === 0,
            getHealthPath: pool => topics.getRoutes()?.getPool(pool)?.healthPath,
            checkLimit: parts.sendLimit,
            onCheck: ({ id: upstream, pool }, failure) => {
                metrics.livenessChecks.inc({ pool, result: failure === undefined ? "answered" : "unanswered" });
                if (failure !== undefined) {
                    throttledJournal.write(events.livenessUnknown, upstream, { upstream, reason: failure });
                }
            },
            relayLimit: restLimit,
            onRelayedStatement: (upstream, statement) => observer.observeAnnouncement(upstream, statement),
        });
    },
    quarantine: parts => createQuarantine(parts, requestPolicy, recordKeys.quarantinePrefix),
    partQuarantine: parts => createQuarantine(parts, partPolicy, recordKeys.partQuarantinePrefix),
    crashWatch: parts => {
        const { clock, journal, quarantine, partQuarantine } = parts;
        return new CrashWatch({ clock, journal, quarantine, partQuarantine });
    },
    rollouts: parts => createRollouts(parts),
    shutdown: ({ clock }) => new Shutdown(clock),
    attempts: parts => createAttempts(parts),
    forwarder: ({ clock, journal, metrics, answerBuffers, attempts, topics, liveSettings, budgets, rooms, shutdown }) =>
        new Forwarder({
            clock,
            journal,
            metrics,
            answerBuffers,
            attempts,
            getRoutes: () => topics.getRoutes(),
            waitForFirstRead: () => topics.waitForFirstRead(),
            getConfigurationAge: () => topics.getConfigurationAge(),
            getMaxKeyAge: () => liveSettings.get().bounds.revocationMilliseconds - revocationMarginMilliseconds,
            getMaxDenialAge: () => liveSettings.get().bounds.configurationMilliseconds * maxDenialAgeShare,
            getBudget: budgets,
            room: rooms,
            checkCapacity: route => shutdown.check(route),
            getStopTimeLeft: () => shutdown.hasStarted ? shutdown.getTimeLeft() : undefined,
        }),
    answerBuffers: parts => createAnswerBuffers(parts),
    bodyMemory: parts => createBodyMemory(parts),
    replyBuffers: parts => createReplyBuffers(parts),
    callerServer: parts => {
        const { clock, readProgress, stallWatch, forwarder, topics, journal, throttledJournal, metrics } = parts;
        return new CallerServer({
            clock,
            readProgress,
            stallWatch,
            handle: (request, reply) => forwarder.handle(request, reply),
            getLimits: () => topics.getRoutes()?.limits,
            onCrash: (request, error) => {
                const cause = error instanceof Error ? error.stack : String(error);
                journal.write(events.requestCrashed, { request, cause });
            },
            replyBuffers: parts.replyBuffers,
            bodyMemory: parts.bodyMemory,
            onNoMemory: request => {
                metrics.refusals.inc({ kind: "memory" });
                throttledJournal.write(events.bodyRefused, request, {
                    request,
                    heldBytes: parts.bodyMemory.getReservedBytes(),
                    smallBytes: parts.bodyMemory.getSmallBytes(),
                });
            },
            onDeparted: request => {
                metrics.departedCallers.inc();
                throttledJournal.write(events.callerDeparted, request, { request });
            },
            onDropped: (request, bound, heldBytes) => {
                metrics.droppedCallers.inc({ bound });
                throttledJournal.write(events.slowCallerDropped, request, { request, bound, heldBytes });
            },
            onBroken: broken => {
                metrics.brokenReplies.inc();
                journal.write(events.answerBroken, { ...broken });
            },
        });
    },
    siteServer: parts => {
        const { settings, liveSettings, topics, membership, directory, sharedReachability, shutdown } = parts;
        return new SiteServer({
            isReady: () => topics.getRoutes() !== undefined && !shutdown.hasStarted,
            getAddresses: failureDomain =>
                chooseAddresses(sharedReachability.preferReaching(membership.getAddressable()), failureDomain).map(
                    member => {
                        const port = directory.getCallerPort(member.id) ?? settings.listen.callers.port;
                        return `${member.address}:${port}`;
                    },
                ),
            getAddressTtlSeconds: () => liveSettings.get().bounds.addressKeepSeconds,
            getMetrics: () => readMetrics(parts),
        });
    },
};

function createReadProgress({ suspensionClock, throttledJournal, metrics }: NodeParts): ReadProgress {
    return new ReadProgress({
        clock: suspensionClock,
        onTurn: milliseconds => {
            metrics.turns.observe(milliseconds / 1_000);
            if (milliseconds >= minLoggedTurnMilliseconds) {
                throttledJournal.write(events.processBehind, "", { turnMs: Math.round(milliseconds) });
            }
        },
    });
}

function createQuarantine(parts: NodeParts, policy: SuspicionPolicy, keyPrefix: string): Quarantine {
    const { self, clock, journal, gossip, membership, writer } = parts;
    return createSharedQuarantine({
        self: self.id,
        clock,
        journal,
        policy,
        gossip,
        getMembers: () => membership.getAlive().map(({ id }) => id),
        store: records => writer.writeQuarantine(keyPrefix, records),
        onQuarantined: () => parts.upstreamClient.withdrawWaiting(),
    });
}

function createPeerHandlers({ gossip, self, topics, relayServer }: NodeParts): PeerHandlers {
    const throwUnsupported = (): never => {
        throw new Error(`The node ${self.id} does not hold this state: on this platform it is kept in the store.`);
    };
    return {
        exchange: request => gossip.handleExchange(request),
        push: request => ({ counter: gossip.handlePush(request) }),
        copyBills: throwUnsupported,
        decideClaims: throwUnsupported,
        fetchState: request => topics.answerPeer(request),
        relay: (request, signal) => relayServer.handle(request, signal),
    };
}
