/**
 * Follows a topic: reads it whole once, then waits for changes, and tracks the age of its state.
 */
import { type Clock, type Failure, isOfLaterEra, readPosition } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "./keyedTopic.js";
import { TopicState } from "./topicState.js";

/** Pause after a failed read, in milliseconds. It doubles up to the maximum. */
const initialBackoffMilliseconds = 100;
/** Time for which a failed source is avoided while another one works, in milliseconds. */
const fallbackMilliseconds = 2_000;
/** Short, since keyed requests are refused until the store can be read again after an outage. */
const maxBackoffMilliseconds = 400;

/**
 * Time after the store's return from an older copy in which its writers write again what it has lost, in milliseconds. Upstreams do so
 * within two seconds.
 */
const settlingMilliseconds = 5_000;

/** Options of a follower. */
export interface TopicFollowerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly journal: Journal;
    /**
     * Returns the reader for the next read.
     * @param fallbackReads - Number of consecutive reads that failed or left the state old; 0 after a successful read.
     */
    readonly pickReader: (fallbackReads: number) => KeyedTopicReader;
    /**
     * A state that was confirmed longer ago than this is stale: the source that it is read from lags behind. In
     * milliseconds.
     */
    readonly staleMilliseconds: number;
    /** A state that no source confirmed for this time indicates an outage of the store, in milliseconds. */
    readonly outageMilliseconds: number;
    /** How long a read may wait for changes. An empty answer after that time confirms the state. */
    readonly waitMilliseconds: number;
    /**
     * Returns the pause after a read that brought changes, in milliseconds. Without it, changes that arrive one by one,
     * such as the records of all nodes when a site starts, would cost every node one read each.
     */
    readonly getPause?: () => number;
    /**
     * Waits after the first read until other sources are known. Otherwise every node that starts would wait for changes
     * at the store for a while, although few nodes should read it. That costs several calls at each start, and calls of
     * all nodes at once after a power failure.
     */
    readonly waitForPeers?: () => Promise<void>;
    /** Receives changed records, ordered by position. */
    readonly onChanges: (changed: readonly KeyedRecord[]) => void;
    /** Called when the store has come back from an older copy, and may have lost what this node wrote. */
    readonly onReturned?: () => void;
    /** Waits between failed reads. The default uses a timer. */
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
    /** Monotonic time at which the writers had time to write again what the store has lost. */
    #settledAt = Number.POSITIVE_INFINITY;
    #isStopped = false;
    #running: Promise<void> | undefined;

    constructor(options: TopicFollowerOptions) {
        this.#options = options;
    }

    /** Starts following the topic. */
    start(): void {
        this.#running = this.#run();
    }

    /** Stops after the read in flight. */
    stop(): void {
        this.#isStopped = true;
        this.#notifyWaiters();
    }

    /** Resolves when the follower has stopped. */
    async waitUntilStopped(): Promise<void> {
        await this.#running;
    }

    /** Returns the milliseconds since the state was last confirmed as the newest, or infinity before the first read. */
    getAge(): number {
        return this.#options.clock.monotonic() - this.state.getConfirmedAt();
    }

    /** Returns the milliseconds since the last outage ended, or infinity if there was none. */
    getTimeSinceOutage(): number {
        return this.#options.clock.monotonic() - this.#outageEndedAt;
    }

    /**
     * Returns whether reading fails or leaves the state old, so that peers should read from another source. The failure
     * of one peer is not sufficient, since the next read uses another source at once.
     */
    isDegraded(): boolean {
        return this.#isFailing || this.getAge() > this.#options.staleMilliseconds;
    }

    /**
     * Applies a page, which may come from another source than this follower's reads.
     * @param page - The page.
     */
    applyPage(page: TopicPage): void {
        // The first read of a starting node does not end an outage: the node has no state that can have expired.
        if (this.state.isLoaded() && this.getAge() > this.#options.outageMilliseconds) {
            this.#outageEndedAt = this.#options.clock.monotonic();
        }
        const before = this.state.getEndPosition();
        const changed = this.state.apply(page);
        if (changed.length > 0) {
            this.#options.onChanges(changed);
        }
        if (isOfLaterEra(this.state.getEndPosition(), before) && before > 0) {
            this.#handleReturn();
        }
        this.#notifyWaiters();
    }

    /**
     * Waits until there is a record at or after a position, for peers that read through this node. Returns early when
     * the reads of this node fail, since a peer that kept waiting would receive changes too late.
     * @param from - The position.
     * @param waitMilliseconds - Maximum time to wait.
     */
    async waitForChanges(from: number, waitMilliseconds: number): Promise<TopicPage> {
        await this.#waitUntil(() => this.state.getEndPosition() > from || this.isDegraded(), waitMilliseconds);
        return this.state.getSince(from);
    }

    /**
     * Waits until the topic has been read once. Nodes that start together query each other before they have read
     * anything. If they were refused, they would all keep reading the store.
     * @param waitMilliseconds - Maximum time to wait.
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

    /** Continues with a store that has come back from an older copy. What it has lost counts until its writers had time to write it again. */
    #handleReturn(): void {
        const { name, journal, clock } = this.#options;
        journal.write(events.storeWentBack, { topic: name, ...readPosition(this.state.getEndPosition()) });
        this.#settledAt = clock.monotonic() + settlingMilliseconds;
        this.#options.onReturned?.();
    }

    /** Returns whether the whole topic has to be read: for the first time, or since what was not written again is gone. */
    #mustReadAll(): boolean {
        return !this.state.isLoaded() || this.#options.clock.monotonic() >= this.#settledAt;
    }

    async #run(): Promise<void> {
        while (!this.#isStopped) {
            const reader = this.#options.pickReader(this.#fallbackReads);
            const isFirst = !this.state.isLoaded();
            const isWhole = this.#mustReadAll();
            const read = isWhole
                ? await reader.readAll()
                : await reader.readSince(this.state.getEndPosition(), this.#options.waitMilliseconds);
            if (read.isErr()) {
                this.#startFallback();
                await this.#recover(reader, read.error);
                continue;
            }
            if (isWhole) {
                this.#settledAt = Number.POSITIVE_INFINITY;
            }
            const hasChanges = this.state.getEndPosition() < read.value.endPosition;
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

    /** Uses a working fallback source for some time, so that not every read fails at the usual source first. */
    #startFallback(): void {
        this.#fallbackReads += 1;
        this.#fallbackUntil = this.#options.clock.monotonic() + fallbackMilliseconds;
    }

    /** The first fallback read starts without a pause, since the usual reader may just have died. */
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
                this.applyPage(page.value);
            }
            // A source that knows less than this node would be asked for the same position again and again.
            if (page.isOk() && page.value.endPosition >= this.state.getEndPosition()) {
                this.#recordRecovery();
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
            journal.write(events.topicLost, {
                topic: name,
                ...readPosition(this.state.getEndPosition()),
                cause: failure.message,
            });
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
