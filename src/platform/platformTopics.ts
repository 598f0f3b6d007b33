/**
 * What the store's topics say, translated: routes, upstreams, nodes and roll-outs.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { UpstreamRegistry } from "../fleet/index.js";
import type { MemberDirectory, NodeIdentity } from "../membership/index.js";
import type { RouteTable } from "../routing/index.js";
import { type KeyedRecord, TopicFollower } from "../topics/index.js";
import { decodeConfiguration } from "./decodeConfiguration.js";
import { decodeUpstream } from "./decodeUpstream.js";
import type { NodeSettings } from "./nodeSettings.js";
import type { StoreClient } from "./storeClient.js";
import { recordKeys, topics } from "./wire.js";

/** An empty answer after this time confirms the newest configuration; keys need one every few seconds. */
const confirmMilliseconds = 1_000;
/** Nothing here needs to be confirmed; changes are delivered at once all the same. */
const statusWaitMilliseconds = 5_000;
/** An entry that vanishes within this time after an outage of the store may only have lapsed, in milliseconds. */
const lapseMilliseconds = 2_000;
const appendPauseMilliseconds = 500;

/** What topics are followed with. */
export interface PlatformTopicsOptions {
    readonly settings: NodeSettings;
    readonly beliefClock: Clock;
    readonly journal: Journal;
    readonly store: StoreClient;
    readonly registry: UpstreamRegistry;
    readonly directory: MemberDirectory;
    readonly self: NodeIdentity;
}

/** Follows the store's topics and hands what they say to those who need it. */
export class PlatformTopics {
    readonly #options: PlatformTopicsOptions;
    readonly #operator: TopicFollower;
    readonly #upstreams: TopicFollower;
    readonly #status: TopicFollower;
    readonly #routeListeners: (() => void)[] = [];
    #routes: RouteTable | undefined;
    #isStopped = false;

    constructor(options: PlatformTopicsOptions) {
        this.#options = options;
        this.#operator = this.#createFollower(
            topics.operator,
            confirmMilliseconds,
            changed => this.#takeOrders(changed),
        );
        this.#upstreams = this.#createFollower(
            topics.upstreams,
            confirmMilliseconds,
            changed => this.#takeUpstreams(changed),
        );
        this.#status = this.#createFollower(
            topics.status,
            statusWaitMilliseconds,
            changed => this.#takeStatus(changed),
        );
    }

    /** Begins to follow, and announces this node. */
    start(): void {
        this.#operator.start();
        this.#upstreams.start();
        this.#status.start();
        void this.#announce();
    }

    /** Ends following. */
    stop(): void {
        this.#isStopped = true;
        for (const follower of [this.#operator, this.#upstreams, this.#status]) {
            follower.stop();
        }
    }

    /** Adds a listener for new route tables. */
    onRoutes(listener: () => void): void {
        this.#routeListeners.push(listener);
    }

    /** Returns the route table in force, or undefined before the first. */
    getRoutes(): RouteTable | undefined {
        return this.#routes;
    }

    /** Returns how long ago the configuration was last known to be the newest, in milliseconds. */
    getConfigurationAge(): number {
        return this.#operator.getAge();
    }

    #createFollower(
        topic: string,
        waitMilliseconds: number,
        onChanges: (changed: readonly KeyedRecord[]) => void,
    ): TopicFollower {
        const { beliefClock, journal, store } = this.#options;
        const reader = store.createReader(topic);
        return new TopicFollower({
            name: topic,
            clock: beliefClock,
            journal,
            pickReader: () => reader,
            waitMilliseconds,
            onChanges,
        });
    }

    #takeOrders(changed: readonly KeyedRecord[]): void {
        for (const { key, value } of changed) {
            if (key === recordKeys.configuration && value !== undefined) {
                this.#takeConfiguration(value);
            }
        }
    }

    #takeConfiguration(value: Buffer): void {
        const { journal } = this.#options;
        const decoded = decodeConfiguration(value);
        if (decoded.isErr()) {
            journal.write(events.recordUnreadable, {
                key: recordKeys.configuration,
                cause: String(decoded.error.cause),
            });
            return;
        }
        if (this.#routes !== undefined && decoded.value.version <= this.#routes.version) {
            return;
        }
        this.#routes = decoded.value;
        journal.write(events.routesInForce, { version: decoded.value.version });
        for (const listener of this.#routeListeners) {
            listener();
        }
    }

    #takeUpstreams(changed: readonly KeyedRecord[]): void {
        const { registry, journal } = this.#options;
        for (const { key, value } of changed) {
            const upstream = value === undefined ? undefined : decodeUpstream(key, value);
            if (upstream === undefined) {
                const mayHaveLapsed = value === undefined && this.#upstreams.getTimeSinceRegained() < lapseMilliseconds;
                registry.remove(key, { mayHaveLapsed });
            }
            else {
                registry.set(upstream);
            }
            if (value !== undefined && upstream === undefined) {
                journal.write(events.recordUnreadable, { key });
            }
            journal.write(events.upstreamRegistered, {
                upstream: key,
                pool: upstream?.pool,
                version: upstream?.version,
                address: upstream?.address,
                leaving: upstream?.isLeaving,
                gone: upstream === undefined || undefined,
            });
        }
    }

    #takeStatus(changed: readonly KeyedRecord[]): void {
        const { directory, journal } = this.#options;
        for (const { key, value } of changed) {
            if (
                key.startsWith(recordKeys.memberPrefix)
                && !directory.set(key.slice(recordKeys.memberPrefix.length), value)
            ) {
                journal.write(events.recordUnreadable, { key });
            }
        }
    }

    /** Leaves this node's record in the store, so that the others get to know it. */
    async #announce(): Promise<void> {
        const { self, settings, store } = this.#options;
        const key = `${recordKeys.memberPrefix}${self.id}`;
        const value = Buffer.from(JSON.stringify({ ...self, callerPort: settings.listen.callers.port }));
        while (!this.#isStopped) {
            if (this.#status.state.isLoaded()) {
                const known = this.#status.state.get(key);
                if (known?.value?.equals(value) === true) {
                    return;
                }
                const appended = await store.append(topics.status, { key, value });
                if (appended.isOk()) {
                    return;
                }
            }
            await new Promise(resolve => setTimeout(resolve, appendPauseMilliseconds));
        }
    }
}
