/**
 * What upstreams say of themselves with their answers about further requests: that they leave, or that they want rest.
 *
 * That an upstream leaves holds for all nodes and for as long as it lives. Rest holds for the node that was asked for it, and until it
 * is over. Both hold whatever the registry says: its records come late while the store is unavailable, and may be lost and come back.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";

/** Number of upstreams whose announcements are kept, by the newest. */
const maxKnown = 4_096;

/** One life of an upstream. After a restart, or at another address, nothing that was announced before holds. */
export interface UpstreamIncarnation {
    readonly id: string;
    /** `HOST:PORT`. */
    readonly address: string;
    /** Unix time of its start in milliseconds, if it is known. */
    readonly startedAt?: number | undefined;
}

/** What an answer announces. */
export interface Announcement {
    readonly isLeaving: boolean;
    /** Time for which the upstream wants no requests from this node. */
    readonly restMilliseconds: number | undefined;
}

/** How a node knows that an upstream leaves: by its own answer, or from another node. */
export type LeavingSource = "answer" | "peer";

/** Called with an upstream that leaves. */
export type LeavingListener = (upstream: UpstreamIncarnation, source: LeavingSource) => void;

interface KnownIncarnation {
    readonly address: string;
    readonly startedAt: number | undefined;
    isLeaving: boolean;
    /** Monotonic time at which the rest ends that this node was last asked for. */
    restEndsAt: number | undefined;
}

/** Options of `Announcements`. */
export interface AnnouncementsOptions {
    readonly clock: Clock;
    readonly journal: Journal;
}

/** Knows which upstreams leave, and which have asked this node for rest. */
export class Announcements {
    readonly #options: AnnouncementsOptions;
    /** By identifier of the upstream, the newest at the end. */
    readonly #known = new Map<string, KnownIncarnation>();
    readonly #leavingListeners: LeavingListener[] = [];
    readonly #restListeners: (() => void)[] = [];

    constructor(options: AnnouncementsOptions) {
        this.#options = options;
    }

    /**
     * Adds a listener for upstreams that leave.
     * @param listener - Called once for each life of such an upstream.
     */
    onLeaving(listener: LeavingListener): void {
        this.#leavingListeners.push(listener);
    }

    /**
     * Adds a listener for upstreams that begin to rest.
     * @param listener - Called after each such announcement.
     */
    onRest(listener: () => void): void {
        this.#restListeners.push(listener);
    }

    /**
     * Records what an answer announces.
     * @param upstream - The upstream.
     * @param announcement - What the head of its answer says.
     */
    observe(upstream: UpstreamIncarnation, { isLeaving, restMilliseconds }: Announcement): void {
        if (isLeaving) {
            this.markLeaving(upstream, "answer");
        }
        if (restMilliseconds !== undefined) {
            this.#addRest(upstream, restMilliseconds);
        }
    }

    /**
     * Records that an upstream leaves.
     * @param upstream - The upstream.
     * @param source - How this node knows it, for the log.
     */
    markLeaving(upstream: UpstreamIncarnation, source: LeavingSource): void {
        const known = this.#getOrAdd(upstream);
        if (known.isLeaving) {
            return;
        }
        known.isLeaving = true;
        this.#options.journal.write(events.upstreamLeaving, { upstream: upstream.id, source });
        for (const listener of this.#leavingListeners) {
            listener(upstream, source);
        }
    }

    /** Returns whether an upstream has announced that it leaves. */
    isLeaving(upstream: UpstreamIncarnation): boolean {
        return this.#find(upstream)?.isLeaving === true;
    }

    /** Returns the monotonic time at which the rest of an upstream ends or has ended; undefined if this node was never asked for any. */
    getRestEnd(upstream: UpstreamIncarnation): number | undefined {
        return this.#find(upstream)?.restEndsAt;
    }

    /** Returns the time until the rest of an upstream ends, in milliseconds; 0 if it does not rest. */
    getRestMilliseconds(upstream: UpstreamIncarnation): number {
        return Math.max(0, (this.getRestEnd(upstream) ?? 0) - this.#options.clock.monotonic());
    }

    /** Returns the number of upstreams that have asked this node for rest which is not over. */
    countResting(): number {
        const now = this.#options.clock.monotonic();
        return [...this.#known.values()].filter(({ restEndsAt = now }) => restEndsAt > now).length;
    }

    /** A shorter rest does not end a longer one, which the upstream was promised. */
    #addRest(upstream: UpstreamIncarnation, milliseconds: number): void {
        const known = this.#getOrAdd(upstream);
        const now = this.#options.clock.monotonic();
        const isResting = (known.restEndsAt ?? now) > now;
        known.restEndsAt = Math.max(known.restEndsAt ?? now, now + milliseconds);
        if (!isResting) {
            this.#options.journal.write(events.upstreamResting, {
                upstream: upstream.id,
                milliseconds: Math.round(milliseconds),
            });
            for (const listener of this.#restListeners) {
                listener();
            }
        }
    }

    #find({ id, address, startedAt }: UpstreamIncarnation): KnownIncarnation | undefined {
        const known = this.#known.get(id);
        return known?.address === address && known.startedAt === startedAt ? known : undefined;
    }

    #getOrAdd(upstream: UpstreamIncarnation): KnownIncarnation {
        const known = this.#find(upstream);
        if (known !== undefined) {
            return known;
        }
        const { id, address, startedAt } = upstream;
        const added: KnownIncarnation = { address, startedAt, isLeaving: false, restEndsAt: undefined };
        this.#known.delete(id);
        this.#known.set(id, added);
        for (const oldest of this.#known.keys()) {
            if (this.#known.size <= maxKnown) {
                break;
            }
            this.#known.delete(oldest);
        }
        return added;
    }
}
