/**
 * The values that a node publishes about itself, their versions, and its heartbeat.
 */
import type { Clock } from "../common/index.js";
import type { Item } from "../generated/peer.js";
import { type DigestLine, type GossipState, incarnationKey } from "./gossipState.js";

/**
 * Epoch of initial versions and heartbeats. Counting from it lets a restarted node continue above the numbers of its
 * last run.
 */
const versionEpochMilliseconds = Date.UTC(2025, 0, 1);
/**
 * Time that corresponds to one version. A run that publishes values faster than this over its whole life ends above the
 * initial version of the next run on the same VM. Peers would then keep the values of the old run that the new one has
 * not overwritten, "leaving" above all, and never send requests to the restarted entry.
 */
const millisecondsPerVersion = 20;

/** Options of `OwnValues`. */
export interface OwnValuesOptions {
    /** Identifier of this node. */
    readonly self: string;
    readonly clock: Clock;
    /** The state of all nodes, which contains these values. */
    readonly state: GossipState;
}

/** Publishes the values of this node. */
export class OwnValues {
    readonly #options: OwnValuesOptions;
    #heartbeat: number;
    #version: number;

    constructor(options: OwnValuesOptions) {
        this.#options = options;
        const elapsedMilliseconds = options.clock.wall() - versionEpochMilliseconds;
        this.#version = Math.max(1, Math.floor(elapsedMilliseconds / millisecondsPerVersion));
        this.#heartbeat = this.#version;
        options.state.add(options.self, options.clock.monotonic());
        this.#publishIncarnation();
    }

    /**
     * Publishes a value.
     * @param key - Its key.
     * @param value - The value.
     */
    publish(key: string, value: Buffer): Item {
        return this.#add(key, value, false);
    }

    /**
     * Removes a value.
     * @param key - Its key.
     */
    remove(key: string): void {
        this.#add(key, Buffer.alloc(0), true);
    }

    /** Advances the heartbeat, which shows the other nodes that this one is alive. */
    advanceHeartbeat(): void {
        const { self, clock, state } = this.#options;
        this.#heartbeat += 1;
        state.setHeartbeat(self, this.#heartbeat, clock.monotonic());
    }

    /**
     * Renumbers the values above the versions that peers hold from an earlier run of this node. Peers hold higher versions when the
     * wall clock was set back across a restart. They would otherwise discard every new value as outdated.
     * @param line - What a peer holds of this node.
     */
    renumber(line: DigestLine): void {
        this.#heartbeat = Math.max(this.#heartbeat, line.heartbeat);
        if (line.version <= this.#version) {
            return;
        }
        this.#version = line.version;
        const own = [...this.#options.state.getValues(this.#options.self)];
        this.#publishIncarnation();
        for (const [key, value] of own) {
            if (key !== incarnationKey) {
                this.#add(key, value.value, value.removed);
            }
        }
    }

    #publishIncarnation(): void {
        this.#add(incarnationKey, Buffer.from(String(this.#version + 1)), false);
    }

    #add(key: string, value: Buffer, removed: boolean): Item {
        const { self, state } = this.#options;
        this.#version += 1;
        const item = { origin: self, key, version: this.#version, value, removed };
        state.setItem(item);
        state.setVersion(item.origin, 0, item.version);
        return item;
    }
}
