/**
 * A node on the platform: the root from which its parts are reached.
 */
import type { AwilixContainer } from "awilix";
import { setTimeout as sleep } from "node:timers/promises";
import { events } from "../events/index.js";
import { createNodeContainer, type NodeParts } from "./nodeParts.js";
import type { NodeSettings } from "./nodeSettings.js";

/** Part of the time to stop in which requests under way may end. */
const drainShare = 0.9;
const drainPollMilliseconds = 50;
/** Callers that asked just before the stop still connect for a while; the node goes on serving them, in milliseconds. */
const leastServingMilliseconds = 2_500;

/** Runs a node from its start to its graceful shutdown. */
export class PlatformNode {
    readonly #container: AwilixContainer<NodeParts>;
    #stopping: Promise<void> | undefined;

    /** @param settings - Its checked settings. */
    constructor(settings: NodeSettings) {
        this.#container = createNodeContainer(settings);
    }

    /** Returns the node's parts. */
    getParts(): NodeParts {
        return this.#container.cradle;
    }

    /** Starts to listen, to follow the store and to talk to peers. */
    async start(): Promise<void> {
        const { settings, peerServer, callerFace, siteFace, topics, gossip, journal, rollouts } = this.getParts();
        const { listen } = settings;
        journal.write(events.processStarted, { address: settings.address });
        topics.onRoutes(() => callerFace.applyLimits());
        topics.start();
        await callerFace.listen(listen.callers.host, listen.callers.port);
        await siteFace.listen(listen.ready.host, listen.ready.port);
        await siteFace.listen(listen.addresses.host, listen.addresses.port);
        await siteFace.listen(listen.metrics.host, listen.metrics.port);
        (await peerServer.start()).match(() => undefined, failure => {
            throw failure;
        });
        gossip.start();
        rollouts.start();
    }

    /** Shuts down gracefully. A second call waits for the first. */
    stop(): Promise<void> {
        this.#stopping ??= this.#stop();
        return this.#stopping;
    }

    async #stop(): Promise<void> {
        const parts = this.getParts();
        const { settings, clock, journal, membership, callerFace, siteFace, forwarder } = parts;
        journal.write(events.processStopping, { requests: forwarder.getInFlight() });
        const since = clock.monotonic();
        membership.announceLeaving();
        callerFace.announceLeaving();
        const end = settings.bounds.stopMilliseconds * drainShare;
        while (clock.monotonic() - since < end) {
            const elapsed = clock.monotonic() - since;
            if (elapsed > leastServingMilliseconds && forwarder.getInFlight() === 0) {
                break;
            }
            await sleep(drainPollMilliseconds);
        }
        journal.write(events.processStopped, { requests: forwarder.getInFlight() });
        callerFace.close();
        siteFace.close();
        parts.rollouts.stop();
        parts.gossip.stop();
        parts.topics.stop();
    }
}
