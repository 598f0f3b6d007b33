/**
 * What this node writes to the topic that the nodes share: its own record, steps of roll-outs, and the sessions it has pinned.
 */
import { events, type Journal } from "../events/index.js";
import type { NodeIdentity } from "../membership/index.js";
import type { PinReport, RolloutOrder, RolloutProgress } from "../rollouts/index.js";
import type { TopicState } from "../topics/index.js";
import { encodeRolloutStatus } from "./decodeConfiguration.js";
import type { LiveSettings } from "./nodeSettings.js";
import type { StoreClient } from "./storeClient.js";
import { recordKeys, topics } from "./wire.js";

const appendRetryDelayMilliseconds = 500;

/** What is written with. */
export interface StatusWriterOptions {
    readonly liveSettings: LiveSettings;
    readonly journal: Journal;
    readonly store: StoreClient;
    readonly self: NodeIdentity;
}

/** Writes to the topic that the nodes share. */
export class StatusWriter {
    readonly #options: StatusWriterOptions;
    #isStopped = false;

    constructor(options: StatusWriterOptions) {
        this.#options = options;
    }

    /** Gives up what has not been written yet. */
    stop(): void {
        this.#isStopped = true;
    }

    /**
     * Writes which sessions of a pool are pinned here.
     * @returns Whether the store has taken it.
     */
    async writePins(pool: string, report: PinReport): Promise<boolean> {
        const { store, journal, self } = this.#options;
        const key = `${recordKeys.pinsPrefix}${self.id}/${pool}`;
        const appended = await store.append(topics.status, [{ key, value: Buffer.from(JSON.stringify(report)) }]);
        if (appended.isErr()) {
            journal.write(events.rolloutWriteFailed, { rollout: pool, state: "pins", cause: appended.error.message });
        }
        return appended.isOk();
    }

    /**
     * Writes a step of a roll-out, for the nodes and for the operator, unless another node has taken the same step already. Whether it
     * has, and whether a write whose answer was lost took effect, reading the topic tells.
     */
    async writeProgress(order: RolloutOrder, progress: RolloutProgress): Promise<void> {
        const { store, journal } = this.#options;
        const records = [
            { key: `${recordKeys.progressPrefix}${order.pool}`, value: Buffer.from(JSON.stringify(progress)) },
            { key: `${recordKeys.rolloutPrefix}${order.pool}`, value: encodeRolloutStatus(order, progress) },
        ];
        const position = {
            matter: `${recordKeys.progressPrefix}${order.pool}`,
            epoch: order.id,
            number: progress.step,
        };
        const appended = await store.append(topics.status, records, position);
        if (appended.isErr() || appended.value === "out-of-turn") {
            const cause = appended.isErr() ? appended.error.message : "another node is further";
            journal.write(events.rolloutWriteFailed, { rollout: order.pool, state: progress.state, cause });
        }
    }

    /**
     * Leaves this node's record in the store, so that the others get to know it.
     * @param status - What the topic holds, as far as it has been read.
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
                const appended = await store.append(topics.status, [{ key, value }]);
                if (appended.isOk()) {
                    return;
                }
            }
            await new Promise(resolve => setTimeout(resolve, appendRetryDelayMilliseconds));
        }
    }
}
