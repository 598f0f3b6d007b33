/**
 * Creates the parts that choose upstreams and send requests to them, from the other parts of a node.
 */
import { BodyMemory } from "../connections/index.js";
import {
    ExtraShare,
    PoolRooms,
    RejectionLimit,
    type SendLimit,
    SendLimits,
    WarmUpLimit,
    WindowedRetryBudget,
} from "../decisions/index.js";
import { events } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import { AnswerBuffers, Attempts, ReplyBuffers, UpstreamObserver, WaitingRoom } from "../forwarding/index.js";
import { createSharedPaces, type RunnerPaces } from "../pace/index.js";
import type { NodeParts } from "./nodeParts.js";
import { createNodeCrashProbe, createNodeLifeProbe } from "./relayParts.js";
import { getSession, watchAttempt } from "./rolloutParts.js";

/** A node that has just started does not know all others yet, and they do not know it. */
const shareSettlingMilliseconds = 5_000;
/** Time for which a silent node still holds its shares of what all nodes may do together, since it may merely be cut off. */
export const shareRetentionMilliseconds = 60_000;
/** Records of upstreams are written about every second. An older list may lack that an upstream warms up. */
const maxUpstreamsAgeMilliseconds = 3_000;

/** Bytes of an answer that may wait for one caller; whole streams of text are smaller. */
const maxReplyBytes = 256 * 1024;
/**
 * Share of the memory limit that answers may take while they are read, and again while they wait for their callers. A larger answer could
 * be read but not passed on.
 */
const answerMemoryShare = 0.1;
/** Share of the memory limit that the bodies of callers' requests may take until their answers end, apart from small ones. */
const bodyMemoryShare = 0.1;
/** The same for requests with small bodies, with what they take beside these. */
const smallBodyMemoryShare = 0.15;
/** Memory limit where the settings give none. */
const defaultMemoryMegabytes = 256;
const bytesPerMegabyte = 1024 * 1024;

/** Creates the bounds of what waits for callers. */
export function createReplyBuffers({ clock, liveSettings }: NodeParts): ReplyBuffers {
    return new ReplyBuffers({
        clock,
        maxReplyBytes,
        getMaxNodeBytes: () => getAnswerMemory(liveSettings),
    });
}

/** Creates the bound of the answers that are read. */
export function createAnswerBuffers({ liveSettings, metrics, throttledJournal }: NodeParts): AnswerBuffers {
    return new AnswerBuffers({
        getMaxNodeBytes: () => getAnswerMemory(liveSettings),
        onOversized: (upstream, bytes) => {
            metrics.oversizedAnswers.inc({ bound: "memory" });
            throttledJournal.write(events.answerOversized, upstream, { upstream, bound: "memory", bytes });
        },
    });
}

/** Creates the bound of the bodies of callers' requests. */
export function createBodyMemory({ clock, liveSettings }: NodeParts): BodyMemory {
    return new BodyMemory({
        clock,
        getMaxBytes: () => getMemoryShare(liveSettings, bodyMemoryShare),
        getMaxSmallBytes: () => getMemoryShare(liveSettings, smallBodyMemoryShare),
    });
}

/** Returns the bytes that answers may take. */
function getAnswerMemory(liveSettings: NodeParts["liveSettings"]): number {
    return getMemoryShare(liveSettings, answerMemoryShare);
}

function getMemoryShare(liveSettings: NodeParts["liveSettings"], share: number): number {
    const { memoryMegabytes = defaultMemoryMegabytes } = liveSettings.get();
    return memoryMegabytes * bytesPerMegabyte * share;
}

/** Creates the limits of requests to upstreams. */
export function createSendLimit(parts: NodeParts): SendLimit<RegisteredUpstream> {
    return new SendLimits([createWarmUpLimit(parts), parts.rateShares, parts.rejectionLimit, parts.restLimit]);
}

/** Creates the limit of requests to upstreams that fail when they reject too many. */
export function createRejectionLimit({ clock, random, membership }: NodeParts): RejectionLimit {
    return new RejectionLimit({
        clock,
        random,
        getNodeCount: () => membership.getPossiblySending(shareRetentionMilliseconds).length,
    });
}

/** Creates the limit of requests to upstreams that warm up. */
function createWarmUpLimit({ clock, self, registry, topics, membership }: NodeParts): SendLimit {
    const settledAt = clock.monotonic() + shareSettlingMilliseconds;
    return new WarmUpLimit({
        clock,
        self: self.id,
        isWarmingUp: ({ id }) => registry.warmUps.isWarmingUp(id),
        getRequestsPerSecond: pool => topics.getRoutes()?.getPool(pool)?.warmUpRequestsPerSecond ?? 0,
        getNodes: () => membership.getPossiblySending(shareRetentionMilliseconds),
        mayHold: () => clock.monotonic() > settledAt && topics.getUpstreamsAge() < maxUpstreamsAgeMilliseconds,
    });
}

/** Creates the part that gives out the room of pools whose upstreams report their load. */
export function createRooms({ clock, random, registry, membership }: NodeParts): PoolRooms {
    return new PoolRooms({
        clock,
        random,
        getAvailable: pool => registry.getAvailable(pool),
        getNodeCount: () => membership.getPossiblySending(shareRetentionMilliseconds).length,
    });
}

/** Creates the part that sends requests to upstreams. */
export function createAttempts(parts: NodeParts): Attempts {
    const { clock, journal, throttledJournal, metrics, rooms, upstreamClient, budgets, rollouts } = parts;
    return new Attempts({
        clock,
        journal,
        metrics,
        waitingRoom: new WaitingRoom({ clock, journal, metrics, rooms }),
        registry: parts.registry,
        picker: parts.picker,
        sendLimit: parts.sendLimit,
        restLimit: parts.restLimit,
        transport: upstreamClient,
        observer: parts.observer,
        isReachable: pool => !parts.reachability.isUnreachable(pool) || parts.relayPeers.canReach(pool),
        crashWatch: parts.crashWatch,
        paces: parts.paces,
        isRefusingConnections: createNodeCrashProbe(parts),
        getLife: createNodeLifeProbe(parts),
        getBudget: budgets,
        onBudgetSpent: (pool, { requests, retries, allowed, share }) => {
            metrics.budgetRefusals.inc({ pool });
            throttledJournal.write(events.retryBudgetSpent, pool, {
                pool,
                requests,
                retries,
                allowed: Math.round(allowed),
                share,
            });
        },
        selectVersion: (exchange, candidates) => rollouts.select(exchange.pool, getSession(exchange), candidates),
        onStart: attempt => watchAttempt(rollouts, attempt),
    });
}

/** Creates the part that records what answers state of their upstreams. */
export function createObserver(parts: NodeParts): UpstreamObserver {
    const { throttledJournal, metrics, announcements, picker, reachability, rateLimits, rejectionLimit, rooms } = parts;
    return new UpstreamObserver({
        throttledJournal,
        metrics,
        announcements,
        picker,
        reachability,
        rateLimits,
        rejectionLimit,
        rooms,
    });
}

/** Creates what the nodes learn together of how long upstreams take. */
export function createPaces(
    { clock, random, journal, gossip, registry, membership, metrics }: NodeParts,
): RunnerPaces {
    return createSharedPaces({
        clock,
        random,
        journal,
        gossip,
        getUpstreams: () => registry.getAll(),
        getNodeCount: () => membership.getAlive().length,
        onUnreadable: () => metrics.unreadablePaceDigests.inc(),
    });
}

/** Creates the retry budgets of all pools. */
export function createBudgets(parts: NodeParts): (pool: string) => WindowedRetryBudget {
    const { suspensionClock, liveSettings } = parts;
    const budgets = new Map<string, WindowedRetryBudget>();
    const share = createExtraShare(parts);
    return pool => {
        let budget = budgets.get(pool);
        if (budget === undefined) {
            budget = new WindowedRetryBudget({
                clock: suspensionClock,
                windowMilliseconds: liveSettings.get().bounds.retryWindowMilliseconds,
                getAllowance: () => {
                    const { retryRatio, retryExtra } = liveSettings.get().bounds;
                    return { ratio: retryRatio, extra: retryExtra };
                },
                getShare: () => share.get(),
            });
            budgets.set(pool, budget);
        }
        return budget;
    };
}

/** Creates this node's part of the retries that all nodes share. */
function createExtraShare(
    { clock, suspensionClock, liveSettings, membership, directory, self, topics }: NodeParts,
): ExtraShare {
    return new ExtraShare({
        clock,
        suspensionClock,
        windowMilliseconds: liveSettings.get().bounds.retryWindowMilliseconds,
        getNodeCount: () => membership.getPossiblySending(shareRetentionMilliseconds).length,
        getListAge: () => topics.getMembersAge(),
        isListed: () => directory.getCallerPort(self.id) !== undefined,
    });
}
