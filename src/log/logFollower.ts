/**
 * Follows a stream of the log by long polls, through outages and retention gaps.
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
    /** Takes each entry, in the order of offsets. */
    readonly onEntry: (entry: LogEntry) => void;
    /** Told when entries expired before they were read, before reading goes on from `earliest`. */
    readonly onGap: (earliest: number) => void;
    /** Told when everything that the log held was read. `askedAt` is the monotonic time at which that read was sent. */
    readonly onCaughtUp?: (requestedAt: number) => void;
    readonly journal?: Journal;
    /** How long a long poll may wait for a new record. */
    readonly waitMilliseconds?: number;
    /** Draws the jitter of the backoff. By default it is seeded differently in every process. */
    readonly random?: RandomSource;
}

/** Reads a stream from an offset on, for as long as it is not stopped. */
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
        // Equal seeds would let every node return at the same moment after an outage and overload the log again.
        this.#random = options.random ?? new RandomSource(Math.floor(Math.random() * 2 ** 31));
        this.#offset = options.from;
        this.#lastContactAt = options.clock.monotonic();
    }

    /** Begins to read. */
    start(): void {
        this.#loop ??= this.#run();
    }

    /** Ends reading, and waits until no callback will be called any more. */
    async stop(): Promise<void> {
        this.#abort.abort();
        await this.#loop;
    }

    /** Returns the offset to read next. */
    getOffset(): number {
        return this.#offset;
    }

    /**
     * Returns the milliseconds since the log last answered, measured from when the answered request was sent.
     *
     * Measured from the arrival, an answer that lay in a socket while this process was paused would look fresh.
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
            // A log that skips expired offsets without saying so would otherwise go unnoticed.
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
