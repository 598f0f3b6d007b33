/**
 * Connects a node's knowledge of paces with that of the other nodes.
 */
import { events } from "../events/index.js";
import type { Gossip } from "../membership/index.js";
import { decodePaceDigest } from "./paceDigest.js";
import { RunnerPaces, type RunnerPacesOptions } from "./runnerPaces.js";

/** Gossip key of what a node has measured. */
const pacesKey = "paces";
/** Shortest time between two lines on digests that can't be read, in milliseconds. */
const minLineIntervalMilliseconds = 60_000;

/** Options of shared paces. */
export interface SharedPacesOptions extends Omit<RunnerPacesOptions, "publish"> {
    readonly gossip: Pick<Gossip, "onUpdate" | "set">;
    /** Called for each digest that can't be read. */
    readonly onUnreadable: () => void;
}

/** Creates paces that are exchanged with the other nodes by gossip. */
export function createSharedPaces({ gossip, onUnreadable, ...options }: SharedPacesOptions): RunnerPaces {
    const { clock, journal } = options;
    const paces = new RunnerPaces({
        ...options,
        publish: (digest, isUrgent) => gossip.set(pacesKey, digest, { urgent: isUrgent }),
    });
    let lineAt = Number.NEGATIVE_INFINITY;
    let unreadable = 0;
    gossip.onUpdate((origin, key, value) => {
        if (key !== pacesKey || value === undefined) {
            return;
        }
        const digest = decodePaceDigest(value);
        if (digest.isOk()) {
            paces.merge(origin, digest.value);
            return;
        }
        unreadable += 1;
        onUnreadable();
        if (clock.monotonic() - lineAt >= minLineIntervalMilliseconds) {
            lineAt = clock.monotonic();
            const { message, remedy } = digest.error;
            journal.write(events.paceDigestUnreadable, { origin, unreadable, cause: message, remedy });
        }
    });
    return paces;
}
