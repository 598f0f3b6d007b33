/**
 * Follows a topic: reads it whole once, then waits for changes, and knows how old its belief is.
 */
import type { Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "./keyedTopic.js";
import { TopicState } from "./topicState.js";

/** Pause after a failed read, in milliseconds; doubled up to the longest one. */
const firstPauseMilliseconds = 100;
/** Kept short: after an outage every second without the store is a second in which keyed requests are refused. */
const longestPauseMilliseconds = 400;

/** Options of a follower. */
export interface TopicFollowerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly journal: Journal;
    /**
     * Picks whom to read from, anew for each read.
     * @param detours - Reads in a row that failed or left the state old; 0 when the last one was as it should be.
     */
    readonly pickReader: (detours: number) => KeyedTopicReader;
    /** A state that was confirmed longer ago than this is old: whoever it is read from lags behind, in milliseconds. */
    readonly staleMilliseconds: number;
    /** How long a read may wait for changes. An empty answer after that time confirms the state. */
    readonly waitMilliseconds: number;
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
    #detours = 0;
    #regainedAt = Number.NEGATIVE_INFINITY;
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
        this.#wake();
    }

    /** Resolves when the follower has ended. */
    async settle(): Promise<void> {
        await this.#running;
    }

    /** Returns the milliseconds since the state was last confirmed as the newest; infinite before the first read. */
    getAge(): number {
        return this.#options.clock.monotonic() - this.state.getConfirmedAt();
    }

    /** Returns the milliseconds since reading worked again after it had failed; infinite when it never failed. */
    getTimeSinceRegained(): number {
        return this.#failures > 0 ? 0 : this.#options.clock.monotonic() - this.#regainedAt;
    }

    /**
     * Takes in a page that came from elsewhere.
     * @param page - The page.
     */
    offer(page: TopicPage): void {
        const changed = this.state.apply(page);
        if (changed.length > 0) {
            this.#options.onChanges(changed);
        }
        this.#wake();
    }

    /**
     * Waits until there is something at or after an offset, for peers that read through this node.
     * @param from - The offset.
     * @param waitMilliseconds - How long to wait at most.
     */
    async waitSince(from: number, waitMilliseconds: number): Promise<TopicPage> {
        if (this.state.getEnd() > from || waitMilliseconds <= 0) {
            return this.state.getSince(from);
        }
        await new Promise<void>(resolve => {
            const done = (): void => {
                if (this.state.getEnd() > from || this.#isStopped) {
                    finish();
                }
            };
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(done);
                resolve();
            };
            const timer = setTimeout(finish, waitMilliseconds);
            this.#waiters.add(done);
        });
        return this.state.getSince(from);
    }

    async #run(): Promise<void> {
        while (!this.#isStopped) {
            const reader = this.#options.pickReader(this.#detours);
            const read = this.state.isLoaded()
                ? await reader.readSince(this.state.getEnd(), this.#options.waitMilliseconds)
                : await reader.readAll();
            if (read.isOk()) {
                this.offer(read.value);
                this.#detours = this.getAge() > this.#options.staleMilliseconds ? this.#detours + 1 : 0;
                if (this.#detours === 0) {
                    this.#noteRegained();
                }
                else {
                    await this.#pause(this.#detours);
                }
                continue;
            }
            this.#detours += 1;
            await this.#recover(reader, read.error);
        }
    }

    /** The first detour is taken at once: the usual reader may just have died. */
    async #pause(detours: number): Promise<void> {
        if (detours > 1) {
            const pause = Math.min(longestPauseMilliseconds, firstPauseMilliseconds * 2 ** Math.min(10, detours - 2));
            await (this.#options.sleep ?? sleepByTimer)(pause);
        }
    }

    async #recover(reader: KeyedTopicReader, failure: Failure): Promise<void> {
        if (failure.kind === "gone") {
            const whole = await reader.readAll();
            if (whole.isOk()) {
                this.#noteRegained();
                this.offer(whole.value);
                return;
            }
        }
        this.#noteLost(failure);
        const pause = Math.min(
            longestPauseMilliseconds,
            firstPauseMilliseconds * 2 ** Math.min(10, this.#failures - 1),
        );
        await (this.#options.sleep ?? sleepByTimer)(pause);
    }

    #noteLost(failure: Failure): void {
        this.#failures += 1;
        if (this.#failures === 1) {
            const { name, journal } = this.#options;
            journal.write(events.topicLost, { topic: name, offset: this.state.getEnd(), cause: failure.message });
        }
    }

    #noteRegained(): void {
        if (this.#failures === 0) {
            return;
        }
        const { name, journal, clock } = this.#options;
        journal.write(events.topicRegained, {
            topic: name,
            failures: this.#failures,
            ageMs: Math.round(this.getAge()),
        });
        this.#failures = 0;
        this.#regainedAt = clock.monotonic();
    }

    #wake(): void {
        for (const waiter of [...this.#waiters]) {
            waiter();
        }
    }
}

function sleepByTimer(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
