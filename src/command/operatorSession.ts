/**
 * Provides operators' access to a site's configuration: reads it from the log and publishes changes to it.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure } from "../common/index.js";
import { type Change, ConfigurationReader, createPublishRecord, type RecordResult } from "../configuration/index.js";
import { LogClient, type LogTransport } from "../log/index.js";

const pollMilliseconds = 10;
const logWaitMilliseconds = 500;

/** Options of an operator session. */
export interface OperatorSessionOptions {
    readonly logUrl: string;
    readonly clock: Clock;
    /** Timeout for the platform, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Name of the operator who publishes. */
    readonly author: string;
    /** Sends requests to the log; by default with undici. */
    readonly send?: LogTransport;
}

/** Reads the configuration and publishes changes. */
export class OperatorSession {
    readonly #options: OperatorSessionOptions;
    readonly #client: LogClient;
    readonly #results = new Map<string, RecordResult>();
    readonly reader: ConfigurationReader;

    constructor(options: OperatorSessionOptions) {
        const { logUrl: url, clock, send } = options;
        this.#options = options;
        this.#client = new LogClient({ url, clock, send });
        this.reader = new ConfigurationReader({
            client: this.#client,
            clock,
            waitMilliseconds: logWaitMilliseconds,
            onResult: result => this.#handleResult(result),
        });
    }

    /** Reads the stream to its end. */
    async open(): Promise<Result<ConfigurationReader, Failure>> {
        this.reader.start();
        const isRead = await this.#waitUntil(() => Number.isFinite(this.reader.getAge()) || this.reader.isIncomplete());
        if (!isRead) {
            return err(createUnavailableFailure(this.#options.logUrl));
        }
        // Changes that are computed against a tree with a gap would revert the changes of other operators.
        return await this.#waitUntil(() => !this.reader.isIncomplete()) ? ok(this.reader) : err(createGapFailure());
    }

    /** Stops reading. */
    async close(): Promise<void> {
        await this.reader.stop();
    }

    /**
     * Publishes changes and reads back their result.
     * @param changes - The changes.
     * @param basedOn - The reader's offset when the changes were made. A later offset would state that the author had read
     * what another operator published in the meantime, and that change would be silently reverted.
     * @param reason - The reason for the changes.
     */
    async publish(
        changes: readonly Change[],
        basedOn: number,
        reason: string,
    ): Promise<Result<RecordResult, Failure>> {
        const { author, timeoutMilliseconds } = this.#options;
        const record = createPublishRecord({ author, reason, basedOn, changes }, `rattanlock/${author}`);
        const appended = await this.#client.appendAndConfirm("config", record, basedOn, timeoutMilliseconds);
        if (appended.isErr()) {
            return err(appended.error);
        }
        await this.#waitUntil(() => this.#results.has(record.id));
        const result = this.#results.get(record.id);
        return result === undefined ? err(createNotReadBackFailure(record.id)) : ok(result);
    }

    #handleResult(result: RecordResult): void {
        // A repeat of this session's own record must not replace the result of the first one.
        if (result.outcome !== "repeated") {
            this.#results.set(result.id, result);
        }
    }

    async #waitUntil(condition: () => boolean): Promise<boolean> {
        const deadline = this.#options.clock.monotonic() + this.#options.timeoutMilliseconds;
        while (!condition()) {
            if (this.#options.clock.monotonic() > deadline) {
                return false;
            }
            await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        }
        return true;
    }
}

function createUnavailableFailure(url: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `The log at ${url} does not answer.`,
        remedy: "Check --log or the site file, or try again when the log is back; nothing was published.",
    });
}

function createGapFailure(): Failure {
    return new Failure({
        kind: "gone",
        message:
            "The configuration in the log has a gap that no snapshot covers, or a record in the format of a newer release.",
        remedy: "Upgrade this program, or wait until an entry has written a snapshot.",
    });
}

function createNotReadBackFailure(id: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `The change was appended as ${id}, but reading it back timed out.`,
        remedy: "Check `rattanlock history` before you publish again.",
    });
}
