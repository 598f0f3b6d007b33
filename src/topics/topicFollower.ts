/**
 * Follows a topic: reads it whole once, then waits for changes, and knows how old its belief is.
 */
import type { Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "./keyedTopic.js";
import { TopicState } from "./topicState.js";

/** Pause after a failed read, in milliseconds; doubled up to the longest one. */
const initialBackoffMilliseconds = 100;
/** A source that failed is passed over for so long while another one does, in milliseconds. */
const fallbackMilliseconds = 2_000;
/** Kept short: after an outage every second without the store is a second in which keyed requests are refused. */
const maxBackoffMilliseconds = 400;

/** Options of a follower. */
export interface TopicFollowerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly journal: Journal;
    /**
     * Picks whom to read from, anew for each read.
     * @param fallbackReads - Reads in a row that failed or left the state old; 0 when the last one was as it should be.
     */
    readonly pickReader: (fallbackReads: number) => KeyedTopicReader;
    /** A state that was confirmed longer ago than this is old: whoever it is read from lags behind, in milliseconds. */
    readonly staleMilliseconds: number;
    /** A state that nobody could confirm for so long was followed by an outage of the store, in milliseconds. */
    readonly outageMilliseconds: number;
    /** How long a read may wait for changes. An empty answer after that time confirms the state. */
    readonly waitMilliseconds: number;
    /**
     * Returns how long to wait after a read that brought changes, in milliseconds. Changes that come one by one, such as the
     * records of all nodes as a site starts, would otherwise cost every node a read each.
     */
    readonly getPause?: () => number;
    /**
     * Waits after the first read until it is known whom else to ask. Every node that starts would otherwise wait for changes at the
     * store for a while, though few nodes are to read it: several calls at each start, and all nodes at once after a loss of power.
     */
    readonly waitForPeers?: () => Promise<void>;
    /** Takes what changed, in the order of offsets. */
    readonly onChanges: (changed: readonly KeyedRecord[]) => void;
    /** Waits between failed reads; tests give another. */
    readonly sleep?: (milliseconds: number) => Promise<void>;
}

/** Follows one topic. */
export class TopicFollower {
    readonly state = new TopicState();
    readonly #options: TopicFollowerOptions;
    readonly #waiters = new Set<() => void>();
    #failures = 0;
    #isFailing = false;
    #fallbackReads = 0;
    #fallbackUntil = Number.NEGATIVE_INFINITY;
    #outageEndedAt = Number.NEGATIVE_INFINITY;
    #isStopped = false;
    #running: Promise<void> | undefined;

    constructor(options: TopicFollowerOptions) {
        this.#options = options;
    }

    /** Begins to follow. */
    start(): void {
        this.#running = this.#run();
    }

    /** Ends after the read that is under way. */
    stop(): void {
        this.#isStopped = true;
        this.#notifyWaiters();
    }

    /** Resolves when the follower has ended. */
    async waitUntilStopped(): Promise<void> {
        await this.#running;
    }

    /** Returns the milliseconds since the state was last confirmed as the newest; infinite before the first read. */
    getAge(): number {
        return this.#options.clock.monotonic() - this.state.getConfirmedAt();
    }

    /** Returns the milliseconds since the state could be confirmed again after an outage; infinite when there was none. */
    getTimeSinceOutage(): number {
        return this.#options.clock.monotonic() - this.#outageEndedAt;
    }

    /**
     * Tells whether reading fails or leaves the state old, so that peers had better ask somebody else. The failure of one peer is
     * not enough: the next read goes elsewhere at once.
     */
    isDegraded(): boolean {
        return this.#isFailing || this.getAge() > this.#options.staleMilliseconds;
    }

    /**
     * Takes in a page that came from elsewhere.
     * @param page - The page.
     */
    applyPage(page: TopicPage): void {
        // The first read of a node that has just started ends no outage: nothing that it knows can have lapsed.
        if (this.state.isLoaded() && this.getAge() > this.#options.outageMilliseconds) {
            this.#outageEndedAt = this.#options.clock.monotonic();
        }
        const changed = this.state.apply(page);
        if (changed.length > 0) {
            this.#options.onChanges(changed);
        }
        this.#notifyWaiters();
    }

    /**
     * Waits until there is something at or after an offset, for peers that read through this node. Ends sooner when this
     * node's own reading fails: a peer that went on waiting would hear of changes too late.
     * @param from - The offset.
     * @param waitMilliseconds - How long to wait at most.
     */
    async waitForChanges(from: number, waitMilliseconds: number): Promise<TopicPage> {
        await this.#waitUntil(() => this.state.getEndOffset() > from || this.isDegraded(), waitMilliseconds);
        return this.state.getSince(from);
    }

    /**
     * Waits until the topic has been read once. Nodes that start together ask each other before they have read anything; turned
     * away, they would all go on reading the store.
     * @param waitMilliseconds - How long to wait at most.
     */
    async waitUntilLoaded(waitMilliseconds: number): Promise<void> {
        await this.#waitUntil(() => this.state.isLoaded(), waitMilliseconds);
    }

    async #waitUntil(isDone: () => boolean, waitMilliseconds: number): Promise<void> {
        if (isDone() || this.#isStopped || waitMilliseconds <= 0) {
            return;
        }
        await new Promise<void>(resolve => {
            const check = (): void => {
                if (isDone() || this.#isStopped) {
                    finish();
                }
            };
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(check);
                resolve();
            };
            const timer = setTimeout(finish, waitMilliseconds);
            this.#waiters.add(check);
        });
    }

    async #run(): Promise<void> {
        while (!this.#isStopped) {
            const reader = this.#options.pickReader(this.#fallbackReads);
            const isFirst = !this.state.isLoaded();
            const read = isFirst
                ? await reader.readAll()
                : await reader.readSince(this.state.getEndOffset(), this.#options.waitMilliseconds);
            if (read.isErr()) {
                this.#startFallback();
                await this.#recover(reader, read.error);
                continue;
            }
            const hasChanges = this.state.getEndOffset() < read.value.endOffset;
            this.applyPage(read.value);
            if (this.getAge() > this.#options.staleMilliseconds) {
                this.#startFallback();
                await this.#backOff(this.#fallbackReads);
                continue;
            }
            this.#recordRecovery();
            if (isFirst) {
                await this.#options.waitForPeers?.();
            }
            if (this.#options.clock.monotonic() >= this.#fallbackUntil) {
                this.#fallbackReads = 0;
            }
            if (hasChanges) {
                await this.#sleep(this.#options.getPause?.() ?? 0);
            }
        }
    }

    /** A source that does on a detour is stayed with for a while, so that the usual one is not asked in vain each time. */
    #startFallback(): void {
        this.#fallbackReads += 1;
        this.#fallbackUntil = this.#options.clock.monotonic() + fallbackMilliseconds;
    }

    /** The first detour is taken at once: the usual reader may just have died. */
    async #backOff(fallbackReads: number): Promise<void> {
        if (fallbackReads > 1) {
            const backoffMilliseconds = Math.min(
                maxBackoffMilliseconds,
                initialBackoffMilliseconds * 2 ** Math.min(10, fallbackReads - 2),
            );
            await this.#sleep(backoffMilliseconds);
        }
    }

    async #sleep(milliseconds: number): Promise<void> {
        if (milliseconds > 0) {
            await (this.#options.sleep ?? sleepByTimer)(milliseconds);
        }
    }

    async #recover(reader: KeyedTopicReader, failure: Failure): Promise<void> {
        if (failure.kind === "gone") {
            const page = await reader.readAll();
            if (page.isOk()) {
                this.#recordRecovery();
                this.applyPage(page.value);
                return;
            }
        }
        this.#recordFailure(reader, failure);
        if (this.#isFailing) {
            const doublings = Math.min(10, this.#failures - 1);
            await this.#sleep(Math.min(maxBackoffMilliseconds, initialBackoffMilliseconds * 2 ** doublings));
        }
    }

    #recordFailure(reader: KeyedTopicReader, failure: Failure): void {
        this.#failures += 1;
        if (this.#failures === 1) {
            const { name, journal } = this.#options;
            journal.write(events.topicLost, { topic: name, offset: this.state.getEndOffset(), cause: failure.message });
        }
        if (!this.#isFailing && (reader.source === "store" || this.#failures > 1)) {
            this.#isFailing = true;
            this.#notifyWaiters();
        }
    }

    #recordRecovery(): void {
        if (this.#failures === 0) {
            return;
        }
        const { name, journal } = this.#options;
        journal.write(events.topicRegained, {
            topic: name,
            failures: this.#failures,
            ageMs: Math.round(this.getAge()),
        });
        this.#failures = 0;
        this.#isFailing = false;
    }

    #notifyWaiters(): void {
        for (const waiter of [...this.#waiters]) {
            waiter();
        }
    }
}

function sleepByTimer(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
