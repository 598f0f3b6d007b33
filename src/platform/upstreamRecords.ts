/**
 * Applies the records with which upstreams register.
 */
import { events, type Journal, type ThrottledJournal } from "../events/index.js";
import { type RegisteredUpstream, UpstreamHistory, type UpstreamRegistry } from "../fleet/index.js";
import type { ForwardingMetrics } from "../forwarding/index.js";
import type { KeyedRecord } from "../topics/index.js";
import { decodeUpstream } from "./decodeUpstream.js";

/** Options of `UpstreamRecords`. */
export interface UpstreamRecordsOptions {
    readonly journal: Journal;
    readonly throttledJournal: Pick<ThrottledJournal, "write">;
    readonly metrics: Pick<ForwardingMetrics, "unreadable">;
    readonly registry: Pick<UpstreamRegistry, "get" | "remove" | "set">;
}

/** Keeps the registered upstreams up to date. */
export class UpstreamRecords {
    readonly #options: UpstreamRecordsOptions;
    readonly #history = new UpstreamHistory();

    constructor(options: UpstreamRecordsOptions) {
        this.#options = options;
    }

    /**
     * Applies records that have changed.
     * @param changed - The records; one without a value was removed.
     * @param expiryGraceMilliseconds - How long an upstream still counts as registered after its record was removed.
     */
    apply(changed: readonly KeyedRecord[], expiryGraceMilliseconds: number): void {
        for (const { key, value, position } of changed) {
            const upstream = value === undefined ? undefined : decodeUpstream(key, value);
            if (upstream !== undefined) {
                this.#set(upstream, position);
                continue;
            }
            if (value !== undefined) {
                this.#reportUnreadable(key);
            }
            this.#remove(key, value === undefined ? expiryGraceMilliseconds : 0);
        }
    }

    #set(upstream: RegisteredUpstream, position: number): void {
        const hasLeft = this.#history.add(upstream, position);
        const registered = hasLeft ? { ...upstream, isLeaving: true } : upstream;
        this.#options.registry.set(registered);
        this.#logRegistered(registered);
    }

    #remove(key: string, graceMilliseconds: number): void {
        const { journal, registry } = this.#options;
        if (graceMilliseconds === 0) {
            this.#history.markRemoved(key);
        }
        if (registry.get(key) !== undefined) {
            registry.remove(key, graceMilliseconds);
            journal.write(events.upstreamRegistered, { upstream: key, gone: true });
        }
    }

    #reportUnreadable(key: string): void {
        const { metrics, throttledJournal } = this.#options;
        metrics.unreadable.inc({ kind: "record" });
        throttledJournal.write(events.recordUnreadable, key, { key });
    }

    #logRegistered({ id, pool, version, address, isLeaving }: RegisteredUpstream): void {
        const fields = { upstream: id, pool, version, address, leaving: isLeaving };
        this.#options.journal.write(events.upstreamRegistered, fields);
    }
}
