/**
 * The upstreams that may get work, folded from what they register.
 */
import type { Clock } from "../common/index.js";
import type { RegisteredUpstream } from "./upstream.js";

/**
 * How long an entry that lapsed while the store was away still counts after the store's return. Upstreams that live are
 * registered again within two seconds; without this time one outage would empty every pool.
 */
const lapseGraceMilliseconds = 2_000;

/** Takes an upstream that is new, was started anew, or is gone. */
export type UpstreamListener = (upstream: RegisteredUpstream) => void;

/** Knows which upstreams there are. */
export class UpstreamRegistry {
    readonly #clock: Clock;
    readonly #upstreams = new Map<string, RegisteredUpstream>();
    /** Monotonic times until which removed upstreams still count. */
    readonly #lapsing = new Map<string, number>();
    readonly #goneListeners: UpstreamListener[] = [];
    #byPool: ReadonlyMap<string, readonly RegisteredUpstream[]> | undefined;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Adds a listener for upstreams that are gone or were started anew; what was learned of them is void.
     * @param listener - Called once for each.
     */
    onGone(listener: UpstreamListener): void {
        this.#goneListeners.push(listener);
    }

    /**
     * Takes in an upstream's entry.
     * @param upstream - The entry.
     */
    set(upstream: RegisteredUpstream): void {
        const known = this.#upstreams.get(upstream.id);
        if (known !== undefined && isAnotherStart(known, upstream)) {
            this.#tellGone(known);
        }
        this.#upstreams.set(upstream.id, upstream);
        this.#lapsing.delete(upstream.id);
        this.#byPool = undefined;
    }

    /**
     * Removes an upstream.
     * @param id - Its identifier.
     * @param options - `mayHaveLapsed` keeps it for a while: its entry may have expired because the store was away.
     */
    remove(id: string, options: { readonly mayHaveLapsed: boolean; }): void {
        const known = this.#upstreams.get(id);
        if (known === undefined) {
            return;
        }
        if (options.mayHaveLapsed && !known.isLeaving) {
            this.#lapsing.set(id, this.#clock.monotonic() + lapseGraceMilliseconds);
            return;
        }
        this.#forget(known);
    }

    /**
     * Replaces all entries by a snapshot.
     * @param upstreams - The entries of the snapshot.
     * @param options - As for `remove`.
     */
    replace(upstreams: readonly RegisteredUpstream[], options: { readonly mayHaveLapsed: boolean; }): void {
        const listed = new Set<string>();
        for (const upstream of upstreams) {
            listed.add(upstream.id);
            this.set(upstream);
        }
        for (const id of [...this.#upstreams.keys()]) {
            if (!listed.has(id) && !this.#lapsing.has(id)) {
                this.remove(id, options);
            }
        }
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
    getTaking(pool: string): readonly RegisteredUpstream[] {
        this.#expireLapsing();
        this.#byPool ??= this.#group();
        return this.#byPool.get(pool) ?? [];
    }

    #expireLapsing(): void {
        const now = this.#clock.monotonic();
        for (const [id, until] of this.#lapsing) {
            const known = this.#upstreams.get(id);
            if (now >= until && known !== undefined) {
                this.#forget(known);
            }
        }
    }

    #forget(upstream: RegisteredUpstream): void {
        this.#upstreams.delete(upstream.id);
        this.#lapsing.delete(upstream.id);
        this.#byPool = undefined;
        this.#tellGone(upstream);
    }

    #tellGone(upstream: RegisteredUpstream): void {
        for (const listener of this.#goneListeners) {
            listener(upstream);
        }
    }

    #group(): ReadonlyMap<string, readonly RegisteredUpstream[]> {
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

function isAnotherStart(known: RegisteredUpstream, upstream: RegisteredUpstream): boolean {
    return known.address !== upstream.address || known.startedAt !== upstream.startedAt;
}
