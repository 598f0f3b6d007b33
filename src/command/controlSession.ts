/**
 * Provides operators' access to the control stream: reads roll-outs, halts and leases, and appends records.
 */
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { type Clock, Failure } from "../common/index.js";
import { ControlReader, LeaseFold, RolloutFold } from "../control/index.js";
import { LogClient, LogFollower } from "../log/index.js";

const pollMilliseconds = 10;
const logWaitMilliseconds = 500;
const recordFormat = 1;

/** Options of a control session. */
export interface ControlSessionOptions {
    readonly logUrl: string;
    readonly clock: Clock;
    /** Timeout for the platform, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Name of the operator. */
    readonly author: string;
}

/** Reads the control stream and appends operators' records to it. */
export class ControlSession {
    readonly #options: ControlSessionOptions;
    readonly #client: LogClient;
    readonly #reader: ControlReader;
    readonly leases = new LeaseFold();
    readonly rollouts: RolloutFold;

    constructor(options: ControlSessionOptions) {
        this.#options = options;
        this.#client = new LogClient({ url: options.logUrl, clock: options.clock });
        this.rollouts = new RolloutFold({
            isCurrentFencingToken: fencingToken => this.leases.isCurrentFencingToken("control", fencingToken),
        });
        this.#reader = new ControlReader({
            follow: follow =>
                new LogFollower({
                    ...follow,
                    client: this.#client,
                    clock: options.clock,
                    waitMilliseconds: logWaitMilliseconds,
                }),
            leases: this.leases,
            rollouts: this.rollouts,
        });
    }

    /** Reads the stream to its current end. */
    async open(): Promise<Result<void, Failure>> {
        this.#reader.start();
        const end = await this.#client.read("control", "latest");
        if (end.isErr()) {
            return err(end.error);
        }
        return this.#waitFor(end.value.next);
    }

    /** Stops reading. */
    close(): Promise<void> {
        return this.#reader.stop();
    }

    /**
     * Appends a record once and waits until it is folded here, as it is on every entry.
     * @param kind - Kind of the record.
     * @param body - Body of the record.
     * @returns The record's offset.
     */
    async append(kind: string, body: unknown): Promise<Result<number, Failure>> {
        const { author, timeoutMilliseconds } = this.#options;
        const record = { id: randomUUID(), kind, format: recordFormat, writer: `rattanlock/${author}`, body };
        const knownOffset = this.#reader.getOffset();
        const appended = await this.#client.appendAndConfirm("control", record, knownOffset, timeoutMilliseconds);
        if (appended.isErr()) {
            return err(appended.error);
        }
        const folded = await this.#waitFor(appended.value + 1);
        return folded.map(() => appended.value);
    }

    async #waitFor(offset: number): Promise<Result<void, Failure>> {
        const deadline = this.#options.clock.monotonic() + this.#options.timeoutMilliseconds;
        while (this.#reader.getOffset() < offset) {
            if (this.#options.clock.monotonic() > deadline) {
                return err(createUnavailableFailure(this.#options.logUrl));
            }
            await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        }
        return ok(undefined);
    }
}

function createUnavailableFailure(url: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `Reading the control stream at ${url} to its end timed out.`,
        remedy: "Check --log or the site file, or retry when the log is available again.",
    });
}
