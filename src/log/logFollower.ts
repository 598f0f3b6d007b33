/**
 * Follows a stream of the log by long polling, across outages and retention gaps.
 */
import { type Clock, type Failure, RandomSource } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { type LogClient, RetentionFailure } from "./logClient.js";
import type { LogEntry, LogPage, StreamName } from "./record.js";

const pageLimit = 500;
const defaultWaitMilliseconds = 2_000;
const initialBackoffMilliseconds = 100;
const maxBackoffMilliseconds = 5_000;

/** Options of a follower. */
export interface LogFollowerOptions {
    readonly client: LogClient;
    readonly stream: StreamName;
    /** The first offset to read. */
    readonly from: number;
    readonly clock: Clock;
    /** Receives each entry, in the order of offsets. */
    readonly onEntry: (entry: LogEntry) => void;
    /** Called when entries expired before they were read. Reading continues at `earliest` afterwards. */
    readonly onGap: (earliest: number) => void;
    /**
     * Called when all entries that the log held were read. `requestedAt` is the monotonic time at which that read was
     * sent.
     */
    readonly onCaughtUp?: (requestedAt: number) => void;
    readonly journal?: Journal;
    /** How long a long poll may wait for a new record. */
    readonly waitMilliseconds?: number;
    /** Source of the jitter of the backoff. By default, its seed differs between processes. */
    readonly random?: RandomSource;
}

/** Reads a stream from an offset on, until it is stopped. */
export class LogFollower {
    readonly #options: LogFollowerOptions;
    readonly #random: RandomSource;
    readonly #abort = new AbortController();
    #offset: number;
    #lastContactAt: number;
    #failures = 0;
    #loop: Promise<void> | undefined;

    constructor(options: LogFollowerOptions) {
        this.#options = options;
        // With equal seeds, all nodes would return at the same time after an outage and overload the log again.
        this.#random = options.random ?? new RandomSource(Math.floor(Math.random() * 2 ** 31));
        this.#offset = options.from;
        this.#lastContactAt = options.clock.monotonic();
    }

    /** Starts reading. */
    start(): void {
        this.#loop ??= this.#run();
    }

    /** Stops reading, and waits until no further callback will be called. */
    async stop(): Promise<void> {
        this.#abort.abort();
        await this.#loop;
    }

    /** Returns the next offset to read. */
    getOffset(): number {
        return this.#offset;
    }

    /**
     * Returns the milliseconds since the last answered request to the log was sent.
     *
     * If the age were measured from the arrival of the answer, one that waited in a socket while this process was
     * paused would appear fresh.
     */
    getContactAge(): number {
        return this.#options.clock.monotonic() - this.#lastContactAt;
    }

    async #run(): Promise<void> {
        while (!this.#abort.signal.aborted) {
            const requestedAt = this.#options.clock.monotonic();
            const page = await this.#options.client.read(this.#options.stream, this.#offset, {
                limit: pageLimit,
                waitMilliseconds: this.#options.waitMilliseconds ?? defaultWaitMilliseconds,
                signal: this.#abort.signal,
            });
            if (this.#abort.signal.aborted) {
                return;
            }
            if (page.isOk()) {
                this.#handleResponse(requestedAt);
                this.#handlePage(page.value, requestedAt);
            }
            else if (page.error instanceof RetentionFailure) {
                this.#handleResponse(requestedAt);
                this.#handleGap(page.error.earliest);
            }
            else {
                await this.#backOff(page.error);
            }
        }
    }

    #handleResponse(requestedAt: number): void {
        this.#lastContactAt = requestedAt;
        if (this.#failures > 0) {
            this.#options.journal?.write(events.logRegained, {
                stream: this.#options.stream,
                failures: this.#failures,
            });
        }
        this.#failures = 0;
    }

    #handlePage(page: LogPage, requestedAt: number): void {
        for (const entry of page.entries) {
            if (entry.offset < this.#offset) {
                continue;
            }
            // A log that skips expired offsets without reporting them would otherwise go unnoticed.
            if (entry.offset > this.#offset) {
                this.#handleGap(entry.offset);
            }
            this.#offset = entry.offset + 1;
            this.#options.onEntry(entry);
        }
        if (page.entries.length < pageLimit) {
            this.#options.onCaughtUp?.(requestedAt);
        }
    }

    #handleGap(earliest: number): void {
        this.#options.journal?.write(events.logGap, {
            stream: this.#options.stream,
            expected: this.#offset,
            earliest,
        });
        this.#offset = earliest;
        this.#options.onGap(earliest);
    }

    async #backOff(failure: Failure): Promise<void> {
        if (this.#failures === 0) {
            this.#options.journal?.write(events.logLost, { stream: this.#options.stream, cause: failure.message });
        }
        this.#failures += 1;
        const maxDelayMilliseconds = Math.min(
            maxBackoffMilliseconds,
            initialBackoffMilliseconds * 2 ** Math.min(this.#failures, 10),
        );
        const jitteredMilliseconds = maxDelayMilliseconds * (0.5 + this.#random.next() / 2);
        const milliseconds = Math.max(jitteredMilliseconds, failure.retryAfterMilliseconds ?? 0);
        await waitUnlessAborted(milliseconds, this.#abort.signal);
    }
}

function waitUnlessAborted(milliseconds: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            signal.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal.addEventListener("abort", finish, { once: true });
        if (signal.aborted) {
            finish();
        }
    });
}
