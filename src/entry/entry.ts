/**
 * Root object of an entry, the process to which callers connect.
 */
import type { AwilixContainer } from "awilix";
import { setTimeout as sleep } from "node:timers/promises";
import { events } from "../events/index.js";
import type { EntrySettings } from "../settings/index.js";
import { createEntryContainer } from "./container.js";
import type { Cradle } from "./cradle.js";

/** How long a graceful shutdown waits for the log to accept the last bills, in milliseconds. */
const flushTimeoutMilliseconds = 60_000;

/** Runs an entry from startup to graceful shutdown. */
export class Entry {
    readonly #container: AwilixContainer<Cradle>;
    #shutdown: Promise<void> | undefined;

    private constructor(container: AwilixContainer<Cradle>) {
        this.#container = container;
    }

    /**
     * Creates an entry without starting it.
     * @param settings - Its validated settings.
     */
    static async create(settings: EntrySettings): Promise<Entry> {
        return new Entry(await createEntryContainer(settings));
    }

    /** Returns the entry's parts. */
    getParts(): Cradle {
        return this.#container.cradle;
    }

    /** Starts to follow the platform, to communicate with peers and to serve callers. */
    async start(): Promise<void> {
        const parts = this.getParts();
        const { settings } = parts;
        (await parts.peerServer.start()).match(() => undefined, failure => {
            throw failure;
        });
        // Peers hand out this entry's address to callers as soon as they receive it, so the entry listens first. Until
        // it has a configuration it refuses requests, which callers can act upon; a refused connection gives them no
        // reason.
        await parts.callerServer.listen(settings.listen.callers.port, settings.listen.callers.host);
        parts.credentialFiles.start();
        parts.upstreamCredentialFiles.start();
        parts.sharedState.start();
        parts.gossip.start();
        parts.vmWatcher.start();
        parts.configuration.start();
        parts.control.start();
        parts.stateFetcher.start();
        parts.collectors.start();
        parts.bills.start();
        parts.billReplicas.start();
        parts.lease.start();
        parts.controlSnapshotWriter.start();
        parts.loadPoller.start();
        parts.reachability.start();
        parts.rolloutDriver.start();
        parts.orderDriver.start();
        await parts.operatorServer.listen(settings.listen.operators.port, settings.listen.operators.host);
        parts.journal.write(events.processStarted, { address: settings.listen.callers.host });
    }

    /** Shuts down gracefully. A second call waits for the first. */
    stop(): Promise<void> {
        this.#shutdown ??= this.#stop();
        return this.#shutdown;
    }

    /**
     * Announces first that the entry is leaving, and continues to accept requests for as long as callers may cache its
     * address. Then finishes the requests in progress and appends the bills to the log. Only then stops communicating
     * with peers and the platform.
     */
    async #stop(): Promise<void> {
        const parts = this.getParts();
        const { timing } = parts.settings;
        parts.journal.write(events.processStopping);
        parts.membership.announceLeaving();
        parts.callerServer.announceLeaving();
        await parts.lease.stop();
        await parts.rolloutDriver.stop();
        await parts.orderDriver.stop();
        // Entries that have not received the update yet may still hand out this entry's address, which callers then cache.
        await sleep(timing.addressesKeepMilliseconds + parts.gossip.getSuspicionTimeoutMilliseconds());
        await this.#drain();
        await parts.servicePipeline.waitForCompletions();
        const flushed = await parts.bills.flush(flushTimeoutMilliseconds);
        if (flushed.isErr()) {
            parts.journal.write(events.billsLeftBehind, { count: parts.bills.getSize() });
        }
        await parts.billReplicas.flush(flushTimeoutMilliseconds);
        await this.#stopBackground();
        parts.journal.write(events.processStopped);
    }

    async #drain(): Promise<void> {
        const { callerServer, settings } = this.getParts();
        const closed = callerServer.close();
        const timer = setTimeout(() => void callerServer.abort(), settings.timing.drainTimeoutMilliseconds);
        await closed;
        clearTimeout(timer);
    }

    async #stopBackground(): Promise<void> {
        const parts = this.getParts();
        parts.gossip.stop();
        parts.bills.stop();
        parts.billReplicas.stop();
        parts.claims.stop();
        await Promise.all([
            parts.credentialFiles.stop(),
            parts.upstreamCredentialFiles.stop(),
            parts.sharedState.stop(),
            parts.loadPoller.stop(),
            parts.reachability.stop(),
            parts.vmWatcher.stop(),
            parts.stateFetcher.stop(),
            parts.controlSnapshotWriter.stop(),
            parts.collectors.stop(),
            parts.configuration.stop(),
            parts.control.stop(),
        ]);
        await parts.peerServer.stop();
        parts.peerClient.close();
        await parts.operatorServer.close();
        await parts.upstreamAgent.close();
        await parts.platformAgent.close();
    }
}
