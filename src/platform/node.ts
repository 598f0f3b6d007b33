/**
 * Runs a node on the platform and gives access to its parts.
 */
import type { AwilixContainer } from "awilix";
import { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { events } from "../events/index.js";
import { shareLeavings } from "../fleet/index.js";
import { formatValidationError } from "../settings/index.js";
import { createNodeContainer } from "./nodeContainer.js";
import type { NodeParts } from "./nodeParts.js";
import { type NodeSettings, parseNodeSettings } from "./nodeSettings.js";

const drainPollMilliseconds = 50;
const answerPollMilliseconds = 5;
/** Minimum time to keep serving after a stop signal: callers that fetched addresses just before it still connect for a while. */
const minServingMilliseconds = 2_500;

/** Runs a node from its start to its graceful shutdown. */
export class PlatformNode {
    readonly #container: AwilixContainer<NodeParts>;
    #stopping: Promise<void> | undefined;

    /** @param settings - The node's validated settings. */
    constructor(settings: NodeSettings) {
        this.#container = createNodeContainer(settings);
    }

    /** Returns the node's parts. */
    getParts(): NodeParts {
        return this.#container.cradle;
    }

    /**
     * Starts to follow the store, to serve callers, and then to talk to peers. Callers wait for the first two, so these come
     * first.
     * @param listeningServer - A server that already listens for callers. Without it, the node starts to listen itself.
     */
    async start(listeningServer?: Server): Promise<void> {
        const { settings, callerServer, stallWatch, topics, journal } = this.getParts();
        journal.write(events.processStarted, { address: settings.address });
        this.#reportMissingLimit();
        topics.onRoutes(() => callerServer.applyLimits());
        this.#clearStateOfRemovedUpstreams();
        shareLeavings(this.getParts());
        this.#clearStateOfUnreachablePools();
        stallWatch.start();
        const listening = callerServer.listen(listeningServer ?? settings.listen.callers);
        topics.start();
        await listening;
        await topics.waitForFirstRead();
        await this.#startSiteServer();
        if (this.#stopping === undefined) {
            await this.#startPeers();
        }
    }

    #reportMissingLimit(): void {
        const { journal, liveSettings } = this.getParts();
        if (liveSettings.get().memoryMegabytes === undefined) {
            journal.write(events.memoryLimitMissing);
        }
    }

    async #startSiteServer(): Promise<void> {
        const { settings: { listen }, siteServer } = this.getParts();
        await siteServer.listen(listen.ready.host, listen.ready.port);
        await siteServer.listen(listen.addresses.host, listen.addresses.port);
        await siteServer.listen(listen.metrics.host, listen.metrics.port);
    }

    async #startPeers(): Promise<void> {
        const { peerServer, gossip, reachability, rollouts } = this.getParts();
        (await peerServer.start()).match(() => undefined, failure => {
            throw failure;
        });
        gossip.start();
        rollouts.start();
        reachability.start();
    }

    /**
     * Applies changed settings. Listening addresses and the node's name keep their values until a restart. A file that cannot be read or
     * has validation errors changes nothing.
     * @param file - The file's name.
     */
    reload(file: string): void {
        const { journal, liveSettings } = this.getParts();
        readSettings(file).match(
            settings => {
                liveSettings.set(settings);
                journal.write(events.settingsReloaded, { file });
                this.#reportMissingLimit();
            },
            cause => journal.write(events.settingsRefused, { file, cause }),
        );
    }

    /** Shuts down gracefully. A second call waits for the first. */
    stop(): Promise<void> {
        this.#stopping ??= this.#stop();
        return this.#stopping;
    }

    /** Discards what was collected about removed and restarted upstreams: it is invalid after a restart under the same identifier. */
    #clearStateOfRemovedUpstreams(): void {
        const { announcements, registry, paces, picker, upstreamClient, sendLimit } = this.getParts();
        registry.onChange(() => upstreamClient.withdrawWaiting());
        announcements.onRest(() => upstreamClient.withdrawWaiting());
        registry.onRemoved(({ id }) => {
            picker.remove(id);
            paces.remove(id);
            sendLimit.remove(id);
            upstreamClient.closeConnections(id);
        });
    }

    /**
     * Discards what was collected about the upstreams of a pool that has become unreachable: its failures were not theirs, and open
     * connections that hang would be used again when the path is back.
     */
    #clearStateOfUnreachablePools(): void {
        const { reachability, registry, picker, upstreamClient } = this.getParts();
        reachability.onChange(pool => {
            for (const upstream of reachability.isUnreachable(pool) ? registry.getAvailable(pool) : []) {
                picker.clearFailures(upstream.id);
                upstreamClient.renewConnections(upstream);
            }
        });
    }

    async #stop(): Promise<void> {
        const parts = this.getParts();
        const { liveSettings, journal, membership, callerServer, siteServer, forwarder, relayServer, shutdown } = parts;
        journal.write(events.processStopping, { requests: callerServer.countOpen() });
        shutdown.start(liveSettings.get().bounds.stopMilliseconds);
        membership.announceLeaving();
        callerServer.announceLeaving();
        await this.#drain();
        // Connections that are closed at once would take the refusals with them.
        forwarder.stop();
        relayServer.stop();
        while (callerServer.countOpen() + relayServer.getInFlight() > 0 && shutdown.getAnswerTimeLeft() > 0) {
            await sleep(answerPollMilliseconds);
        }
        journal.write(events.processStopped, { requests: callerServer.countOpen() });
        callerServer.close();
        siteServer.close();
        parts.stallWatch.stop();
        parts.rollouts.stop();
        await parts.reachability.stop();
        parts.gossip.stop();
        parts.topics.stop();
        await parts.lineWriter.flush();
    }

    /** Serves on until nothing is in hand, not even what has arrived and waits unread, or until the time to stop runs out. */
    async #drain(): Promise<void> {
        const { clock, shutdown, readProgress } = this.getParts();
        const startedAt = clock.monotonic();
        while (shutdown.getTimeLeft() > 0) {
            if (clock.monotonic() - startedAt > minServingMilliseconds && this.#isIdle()) {
                await Promise.race([
                    readProgress.readArrived(),
                    sleep(shutdown.getTimeLeft(), undefined, { ref: false }),
                ]);
                if (this.#isIdle()) {
                    return;
                }
            }
            await sleep(drainPollMilliseconds);
        }
    }

    #isIdle(): boolean {
        const { callerServer, forwarder, relayServer } = this.getParts();
        return callerServer.countOpen() === 0 && forwarder.getInFlight() === 0 && relayServer.getInFlight() === 0;
    }
}

/** Reads settings, or returns why they are not usable. */
function readSettings(file: string): Result<NodeSettings, string> {
    const readContent = Result.fromThrowable(() => readFileSync(file, "utf8"), String);
    return readContent().andThen(content =>
        parseNodeSettings(content, file).mapErr(validationErrors =>
            validationErrors.map(formatValidationError).join(" ")
        )
    );
}
