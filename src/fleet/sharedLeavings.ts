/**
 * Exchanges between nodes which upstreams have announced that they leave. While the store is unavailable, nodes that have just started,
 * or have not sent such an upstream anything, learn it in no other way before it is gone.
 */
import { z } from "zod";
import { events, type Journal } from "../events/index.js";
import type { Announcements, UpstreamIncarnation } from "./announcements.js";
import type { UpstreamRegistry } from "./upstreamRegistry.js";

/** Gossip key of the upstreams that have told a node that they leave. */
const leavingsKey = "leavings";
/** Maximum number of upstreams that one node publishes, by the newest. */
const maxPublished = 256;
const leavingsSchema = z.array(z.object({
    id: z.string().min(1),
    address: z.string().min(1),
    startedAt: z.number().optional(),
}));

/** Publishes values of this node, and receives those of the others. */
export interface ValueExchange {
    /** Adds a listener, called once for each newer value. The value is undefined when its origin removed it. */
    onUpdate(listener: (origin: string, key: string, value: Buffer | undefined) => void): void;
    /** Publishes a value of this node. */
    set(key: string, value: Buffer): void;
}

/** The parts that are connected. */
export interface SharedLeavingsOptions {
    readonly announcements: Pick<Announcements, "markLeaving" | "onLeaving">;
    readonly registry: Pick<UpstreamRegistry, "onRemoved">;
    readonly gossip: ValueExchange;
    readonly journal: Journal;
}

/** Publishes what upstreams announce to this node, and applies what they have announced to others. */
export function shareLeavings({ announcements, registry, gossip, journal }: SharedLeavingsOptions): void {
    const own = new Map<string, UpstreamIncarnation>();
    // Not urgent: each node that uses an upstream is told by the first answer itself.
    const publish = (): void =>
        gossip.set(leavingsKey, Buffer.from(JSON.stringify([...own.values()].slice(-maxPublished))));
    announcements.onLeaving(({ id, address, startedAt }, source) => {
        if (source !== "peer") {
            own.set(id, { id, address, startedAt });
            publish();
        }
    });
    registry.onRemoved(({ id }) => {
        if (own.delete(id)) {
            publish();
        }
    });
    gossip.onUpdate((origin, key, value) => {
        if (key !== leavingsKey || value === undefined) {
            return;
        }
        try {
            for (const upstream of leavingsSchema.parse(JSON.parse(value.toString()))) {
                announcements.markLeaving(upstream, "peer");
            }
        }
        catch (cause) {
            journal.write(events.recordUnreadable, { key: origin, cause: String(cause) });
        }
    });
}
