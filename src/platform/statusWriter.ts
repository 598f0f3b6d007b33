/**
 * Writes to the status topic that the nodes share: the node's own record, steps of roll-outs, pinned sessions
 * and what is quarantined.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { NodeIdentity } from "../membership/index.js";
import { type CrashRecord, encodeCrashRecords } from "../quarantine/index.js";
import type { PinReport, RolloutOrder, RolloutProgress } from "../rollouts/index.js";
import type { TopicState } from "../topics/index.js";
import { encodeRolloutStatus } from "./decodeConfiguration.js";
import type { LiveSettings } from "./nodeSettings.js";
import type { AppendOutcome, StoreClient } from "./storeClient.js";
import { recordKeys, topics } from "./wire.js";

const appendRetryDelayMilliseconds = 500;

/** Options of `StatusWriter`. */
export interface StatusWriterOptions {
    readonly liveSettings: LiveSettings;
    readonly journal: Journal;
    readonly store: StoreClient;
    readonly self: NodeIdentity;
}

/** Writes this node's records to the status topic. */
export class StatusWriter {
    readonly #options: StatusWriterOptions;
    /** What this node wrote last under its own keys, and the store has confirmed. */
    readonly #written = new Map<string, Buffer>();
    #isStopped = false;
    #isRestoring = false;
    /** Whether the store has come back since the last look at what it has lost. */
    #mustRestore = false;

    constructor(options: StatusWriterOptions) {
        this.#options = options;
    }

    /** Discards pending writes. */
    stop(): void {
        this.#isStopped = true;
    }

    /**
     * Writes which sessions of a pool this node has pinned.
     * @returns Whether the store has confirmed the write.
     */
    async writePins(pool: string, report: PinReport): Promise<boolean> {
        const { journal, self } = this.#options;
        const key = `${recordKeys.pinsPrefix}${self.id}/${pool}`;
        const result = await this.#append(key, Buffer.from(JSON.stringify(report)));
        if (result.isErr()) {
            journal.write(events.rolloutWriteFailed, { rollout: pool, state: "pins", cause: result.error.message });
        }
        return result.isOk();
    }

    /**
     * Writes which requests or parts of prompts this node has quarantined.
     * @returns Whether the store has confirmed the write.
     */
    async writeQuarantine(keyPrefix: string, crashRecords: readonly CrashRecord[]): Promise<boolean> {
        const { journal, self } = this.#options;
        const key = `${keyPrefix}${self.id}`;
        const result = await this.#append(key, encodeCrashRecords(crashRecords));
        if (result.isErr()) {
            journal.write(events.quarantineWriteFailed, { cause: result.error.message });
        }
        return result.isOk() || this.#isStopped;
    }

    /**
     * Writes a step of a roll-out for the nodes and for the operator, unless another node has already written the same step. The
     * topic shows whether another node has, and whether a write without a response took effect.
     * @param epoch - The newest position of the order's record: after the store came back from an older copy, what it knew of the steps
     * before is outdated.
     */
    async writeProgress(order: RolloutOrder, progress: RolloutProgress, epoch: number): Promise<void> {
        const { store, journal } = this.#options;
        const records = [
            { key: `${recordKeys.progressPrefix}${order.pool}`, value: Buffer.from(JSON.stringify(progress)) },
            { key: `${recordKeys.rolloutPrefix}${order.pool}`, value: encodeRolloutStatus(order, progress) },
        ];
        const position = {
            producer: `${recordKeys.progressPrefix}${order.pool}`,
            epoch,
            sequenceNumber: progress.step,
        };
        const result = await store.append(topics.status, records, position);
        if (result.isErr() || result.value === "out-of-turn") {
            const cause = result.isErr()
                ? result.error.message
                : "another node has written a later step";
            journal.write(events.rolloutWriteFailed, { rollout: order.pool, state: progress.state, cause });
        }
    }

    /**
     * Writes this node's record to the store, so that other nodes discover it.
     * @param status - The status topic as far as it has been read.
     */
    async announce(status: TopicState): Promise<void> {
        const { self, liveSettings } = this.#options;
        const key = `${recordKeys.memberPrefix}${self.id}`;
        const value = Buffer.from(JSON.stringify({ ...self, callerPort: liveSettings.get().listen.callers.port }));
        await this.#repeat(async () => {
            if (!status.isLoaded()) {
                return false;
            }
            if (isHeld(status, key, value)) {
                this.#written.set(key, value);
                return true;
            }
            return (await this.#append(key, value)).isOk();
        });
    }

    /**
     * Writes again what this node has written and the store has lost, as it came back from an older copy.
     * @param status - The status topic as far as it has been read.
     */
    async restore(status: TopicState): Promise<void> {
        this.#mustRestore = true;
        if (this.#isRestoring) {
            return;
        }
        this.#isRestoring = true;
        while (this.#mustRestore && !this.#isStopped) {
            this.#mustRestore = false;
            for (const [key, value] of [...this.#written]) {
                if (!isHeld(status, key, value)) {
                    await this.#restoreRecord(key);
                }
            }
        }
        this.#isRestoring = false;
    }

    /** Writes the latest value of a key again. A write of the same key that succeeds meanwhile may be overtaken, and is then repeated. */
    async #restoreRecord(key: string): Promise<void> {
        const { store, journal } = this.#options;
        await this.#repeat(async () => {
            const value = this.#written.get(key)!;
            const result = await store.append(topics.status, [{ key, value }]);
            journal.write(events.recordRestored, {
                key,
                cause: result.match(() => undefined, failure => failure.message),
            });
            return result.isOk() && this.#written.get(key) === value;
        });
    }

    async #append(key: string, value: Buffer): Promise<Result<AppendOutcome, Failure>> {
        const result = await this.#options.store.append(topics.status, [{ key, value }]);
        if (result.isOk()) {
            this.#written.set(key, value);
        }
        return result;
    }

    /** Repeats a step until it is done or the node stops. */
    async #repeat(step: () => Promise<boolean>): Promise<void> {
        while (!this.#isStopped && !await step()) {
            await new Promise(resolve => setTimeout(resolve, appendRetryDelayMilliseconds));
        }
    }
}

/** Returns whether the store holds a record with a value. */
function isHeld(status: TopicState, key: string, value: Buffer): boolean {
    return status.getHeld(key)?.value?.equals(value) === true;
}
