/**
 * The upstreams that may get work, folded from what they register.
 */
import type { Clock } from "../common/index.js";
import type { RegisteredUpstream } from "./upstream.js";

/** Takes an upstream that is new, was started anew, or is gone. */
export type UpstreamListener = (upstream: RegisteredUpstream) => void;

/** Knows which upstreams there are. */
export class UpstreamRegistry {
    readonly #clock: Clock;
    readonly #upstreams = new Map<string, RegisteredUpstream>();
    /** Monotonic times until which removed upstreams still count. */
    readonly #expiring = new Map<string, number>();
    readonly #removalListeners: UpstreamListener[] = [];
    #byPool: ReadonlyMap<string, readonly RegisteredUpstream[]> | undefined;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a listener for upstreams that are gone or were started anew; what was learned of them is void.
     * @param listener - Called once for each.
     */
    onRemoved(listener: UpstreamListener): void {
        this.#removalListeners.push(listener);
    }

    /**
     * Takes in an upstream's entry.
     * @param upstream - The entry.
     */
    set(upstream: RegisteredUpstream): void {
        const known = this.#upstreams.get(upstream.id);
        if (known !== undefined && wasRestarted(known, upstream)) {
            this.#notifyRemoved(known);
        }
        this.#upstreams.set(upstream.id, upstream);
        this.#expiring.delete(upstream.id);
        this.#byPool = undefined;
    }

    /**
     * Removes an upstream.
     * @param id - Its identifier.
     * @param graceMilliseconds - How long it still counts: its entry may have expired because the store was away, and upstreams
     * that live need a while to register again. Without this time one outage would empty every pool.
     */
    remove(id: string, graceMilliseconds: number): void {
        const known = this.#upstreams.get(id);
        if (known === undefined) {
            return;
        }
        if (graceMilliseconds > 0 && !known.isLeaving) {
            this.#expiring.set(id, this.#clock.monotonic() + graceMilliseconds);
            return;
        }
        this.#delete(known);
    }

    /**
     * Marks an upstream as leaving that said so itself, before its entry does.
     * @param id - Its identifier.
     */
    markLeaving(id: string): void {
        const known = this.#upstreams.get(id);
        if (known !== undefined && !known.isLeaving) {
            this.#upstreams.set(id, { ...known, isLeaving: true });
            this.#byPool = undefined;
        }
    }

    /**
     * Returns an upstream, leaving or not.
     * @param id - Its identifier.
     */
    get(id: string): RegisteredUpstream | undefined {
        return this.#upstreams.get(id);
    }

    /** Returns all upstreams, leaving ones among them. */
    getAll(): Iterable<RegisteredUpstream> {
        return this.#upstreams.values();
    }

    /**
     * Returns the upstreams of a pool that take work.
     * @param pool - Name of the pool.
     */
    getAvailable(pool: string): readonly RegisteredUpstream[] {
        this.#removeExpired();
        this.#byPool ??= this.#groupByPool();
        return this.#byPool.get(pool) ?? [];
    }

    #removeExpired(): void {
        const now = this.#clock.monotonic();
        for (const [id, until] of this.#expiring) {
            const known = this.#upstreams.get(id);
            if (now >= until && known !== undefined) {
                this.#delete(known);
            }
        }
    }

    #delete(upstream: RegisteredUpstream): void {
        this.#upstreams.delete(upstream.id);
        this.#expiring.delete(upstream.id);
        this.#byPool = undefined;
        this.#notifyRemoved(upstream);
    }

    #notifyRemoved(upstream: RegisteredUpstream): void {
        for (const listener of this.#removalListeners) {
            listener(upstream);
        }
    }

    #groupByPool(): ReadonlyMap<string, readonly RegisteredUpstream[]> {
        const byPool = new Map<string, RegisteredUpstream[]>();
        for (const upstream of this.#upstreams.values()) {
            if (upstream.isLeaving) {
                continue;
            }
            const list = byPool.get(upstream.pool);
            if (list === undefined) {
                byPool.set(upstream.pool, [upstream]);
            }
            else {
                list.push(upstream);
            }
        }
        return byPool;
    }
}

function wasRestarted(known: RegisteredUpstream, upstream: RegisteredUpstream): boolean {
    return known.address !== upstream.address || known.startedAt !== upstream.startedAt;
}
