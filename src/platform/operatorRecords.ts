/**
 * Applies the operator's records: the configuration, orders of roll-outs, and evacuations of failure domains.
 */
import type { Failure } from "../common/index.js";
import { events, type Journal, type ThrottledJournal } from "../events/index.js";
import type { UpstreamRegistry } from "../fleet/index.js";
import type { Rollouts } from "../rollouts/index.js";
import type { RouteTable } from "../routing/index.js";
import type { KeyedRecord } from "../topics/index.js";
import { decodeConfiguration, decodeRolloutOrder } from "./decodeConfiguration.js";
import { recordKeys } from "./wire.js";

/** Options of `OperatorRecords`. */
export interface OperatorRecordsOptions {
    readonly journal: Journal;
    readonly throttledJournal: Pick<ThrottledJournal, "write">;
    readonly registry: UpstreamRegistry;
    /** Returns the roll-outs of this node. */
    readonly getRollouts: () => Rollouts;
}

/** Applies what the operator publishes, and holds the route table in force. */
export class OperatorRecords {
    readonly #options: OperatorRecordsOptions;
    readonly #routeListeners: (() => void)[] = [];
    #routes: RouteTable | undefined;

    constructor(options: OperatorRecordsOptions) {
        this.#options = options;
    }

    /** Adds a listener for new route tables. */
    onRoutes(listener: () => void): void {
        this.#routeListeners.push(listener);
    }

    /** Returns the route table in force, or undefined before the first one. */
    getRoutes(): RouteTable | undefined {
        return this.#routes;
    }

    /**
     * Applies records that have changed.
     * @param changed - The records; without a value, the operator has removed them.
     */
    apply(changed: readonly KeyedRecord[]): void {
        for (const { key, value, position } of changed) {
            if (key === recordKeys.configuration && value !== undefined) {
                this.#applyConfiguration(value);
            }
            else if (key.startsWith(recordKeys.rolloutPrefix) && value !== undefined) {
                this.#applyRolloutOrder(key, value, position);
            }
            else if (key.startsWith(recordKeys.evacuationPrefix)) {
                this.#applyEvacuation(key.slice(recordKeys.evacuationPrefix.length), value !== undefined);
            }
        }
    }

    #applyConfiguration(value: Buffer): void {
        decodeConfiguration(value).match(
            routes => this.#setRoutes(routes),
            failure => this.#logUnreadable(recordKeys.configuration, failure),
        );
    }

    #setRoutes(routes: RouteTable): void {
        if (this.#routes !== undefined && routes.version <= this.#routes.version) {
            return;
        }
        this.#routes = routes;
        this.#options.journal.write(events.routesInForce, { version: routes.version });
        for (const listener of this.#routeListeners) {
            listener();
        }
    }

    #applyRolloutOrder(key: string, value: Buffer, position: number): void {
        decodeRolloutOrder(value, position).match(
            order => this.#options.getRollouts().setOrder(order),
            failure => this.#logUnreadable(key, failure),
        );
    }

    #applyEvacuation(failureDomain: string, isEvacuated: boolean): void {
        const { journal, registry } = this.#options;
        if (isEvacuated) {
            if (registry.evacuate(failureDomain)) {
                journal.write(events.evacuationStarted, { failureDomain });
            }
            return;
        }
        const durationMilliseconds = registry.endEvacuation(
            failureDomain,
            pool => this.#routes?.getPool(pool)?.warmUpMilliseconds ?? 0,
        );
        if (durationMilliseconds !== undefined) {
            journal.write(events.evacuationEnded, { failureDomain, wholeMs: Math.round(durationMilliseconds) });
        }
    }

    #logUnreadable(key: string, failure: Failure): void {
        this.#options.throttledJournal.write(events.recordUnreadable, key, { key, cause: String(failure.cause) });
    }
}
