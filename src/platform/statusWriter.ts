/**
 * Writes to the status topic that the nodes share: the node's own record, steps of roll-outs, pinned sessions
 * and what is quarantined.
 */
import { events, type Journal } from "../events/index.js";
import type { NodeIdentity } from "../membership/index.js";
import { type CrashRecord, encodeCrashRecords } from "../quarantine/index.js";
import type { PinReport, RolloutOrder, RolloutProgress } from "../rollouts/index.js";
import type { TopicState } from "../topics/index.js";
import { encodeRolloutStatus } from "./decodeConfiguration.js";
import type { LiveSettings } from "./nodeSettings.js";
import type { StoreClient } from "./storeClient.js";
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
    #isStopped = false;

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
        const { store, journal, self } = this.#options;
        const key = `${recordKeys.pinsPrefix}${self.id}/${pool}`;
        const result = await store.append(topics.status, [{ key, value: Buffer.from(JSON.stringify(report)) }]);
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
        const { store, journal, self } = this.#options;
        const key = `${keyPrefix}${self.id}`;
        const result = await store.append(topics.status, [{ key, value: encodeCrashRecords(crashRecords) }]);
        if (result.isErr()) {
            journal.write(events.quarantineWriteFailed, { cause: result.error.message });
        }
        return result.isOk() || this.#isStopped;
    }

    /**
     * Writes a step of a roll-out for the nodes and for the operator, unless another node has already written the same step. The
     * topic shows whether another node has, and whether a write without a response took effect.
     */
    async writeProgress(order: RolloutOrder, progress: RolloutProgress): Promise<void> {
        const { store, journal } = this.#options;
        const records = [
            { key: `${recordKeys.progressPrefix}${order.pool}`, value: Buffer.from(JSON.stringify(progress)) },
            { key: `${recordKeys.rolloutPrefix}${order.pool}`, value: encodeRolloutStatus(order, progress) },
        ];
        const position = {
            producer: `${recordKeys.progressPrefix}${order.pool}`,
            epoch: order.id,
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
        const { self, liveSettings, store } = this.#options;
        const key = `${recordKeys.memberPrefix}${self.id}`;
        const value = Buffer.from(JSON.stringify({ ...self, callerPort: liveSettings.get().listen.callers.port }));
        while (!this.#isStopped) {
            if (status.isLoaded()) {
                const known = status.get(key);
                if (known?.value?.equals(value) === true) {
                    return;
                }
                const result = await store.append(topics.status, [{ key, value }]);
                if (result.isOk()) {
                    return;
                }
            }
            await new Promise(resolve => setTimeout(resolve, appendRetryDelayMilliseconds));
        }
    }
}
