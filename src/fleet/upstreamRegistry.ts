/**
 * Registry of the upstreams that may receive requests.
 */
import type { Clock } from "../common/index.js";
import type { Announcements } from "./announcements.js";
import { Evacuations } from "./evacuations.js";
import { isSameIncarnation, type RegisteredUpstream } from "./upstream.js";
import { WarmUps } from "./warmUps.js";

/** Called with an upstream that was removed or restarted. */
export type UpstreamListener = (upstream: RegisteredUpstream) => void;

/** Holds the registered upstreams. */
export class UpstreamRegistry {
    /** The upstreams that are warming up. */
    readonly warmUps: WarmUps;
    readonly #evacuations: Evacuations;
    readonly #clock: Clock;
    readonly #announcements: Announcements;
    readonly #upstreams = new Map<string, RegisteredUpstream>();
    /** Monotonic times until which removed upstreams still count as registered. */
    readonly #expiryTimes = new Map<string, number>();
    readonly #removalListeners: UpstreamListener[] = [];
    readonly #changeListeners: (() => void)[] = [];
    #byPool: ReadonlyMap<string, readonly RegisteredUpstream[]> | undefined;

    /**
     * @param clock - The clock of expiry times.
     * @param announcements - What the upstreams themselves say, which counts beside their records.
     */
    constructor(clock: Clock, announcements: Announcements) {
        this.#clock = clock;
        this.#announcements = announcements;
        announcements.onLeaving(() => this.#handleChange());
        this.warmUps = new WarmUps(clock);
        this.#evacuations = new Evacuations(clock);
    }

    /**
     * Adds a listener for upstreams that were removed or restarted. State that was collected for them is invalid.
     * @param listener - Called once for each such upstream.
     */
    onRemoved(listener: UpstreamListener): void {
        this.#removalListeners.push(listener);
    }

    /**
     * Adds a listener for changes of the upstreams that accept requests.
     * @param listener - Called after each change.
     */
    onChange(listener: () => void): void {
        this.#changeListeners.push(listener);
    }

    /**
     * Adds or replaces an upstream.
     * @param upstream - The registered upstream.
     */
    set(upstream: RegisteredUpstream): void {
        const known = this.#upstreams.get(upstream.id);
        if (known !== undefined && !isSameIncarnation(known, upstream)) {
            this.#notifyRemoved(known);
        }
        this.#upstreams.set(upstream.id, upstream);
        this.#expiryTimes.delete(upstream.id);
        this.warmUps.set(upstream.id, upstream.warmUpMilliseconds);
        this.#handleChange();
    }

    /**
     * Removes an upstream.
     * @param id - The upstream's identifier.
     * @param graceMilliseconds - How long the upstream still counts as registered. Its record may have expired because the store
     * was unavailable, and live upstreams need some time to register again. Without this time one outage would empty every pool.
     */
    remove(id: string, graceMilliseconds: number): void {
        const known = this.#upstreams.get(id);
        if (known === undefined) {
            return;
        }
        if (graceMilliseconds > 0 && !this.#isLeaving(known)) {
            this.#expiryTimes.set(id, this.#clock.monotonic() + graceMilliseconds);
            return;
        }
        this.#delete(known);
    }

    /**
     * Marks an upstream as leaving until its next record, after a call that found it replaced. Only an upstream that lives writes
     * another record: a refused model, too, may pass for a replacement.
     * @param id - The upstream's identifier.
     */
    markLeaving(id: string): void {
        const known = this.#upstreams.get(id);
        if (known !== undefined && !known.isLeaving) {
            this.#upstreams.set(id, { ...known, isLeaving: true });
            this.#handleChange();
        }
    }

    /**
     * Evacuates a failure domain: its upstreams accept no requests until the evacuation ends.
     * @returns Whether the domain was not evacuated before.
     */
    evacuate(failureDomain: string): boolean {
        const isNew = this.#evacuations.add(failureDomain);
        this.#handleChange();
        return isNew;
    }

    /**
     * Ends the evacuation of a failure domain. Its upstreams have received nothing for a while and may have lost their state, which
     * their next records show only later, so they are presumed to warm up.
     * @param failureDomain - The failure domain.
     * @param getWarmUpMilliseconds - Returns how long the upstreams of a pool warm up.
     * @returns The duration of the evacuation in milliseconds, or undefined if the domain was not evacuated.
     */
    endEvacuation(failureDomain: string, getWarmUpMilliseconds: (pool: string) => number): number | undefined {
        const duration = this.#evacuations.remove(failureDomain);
        if (duration === undefined) {
            return undefined;
        }
        this.#handleChange();
        for (const upstream of this.#upstreams.values()) {
            const warmUpMilliseconds = getWarmUpMilliseconds(upstream.pool);
            if (upstream.failureDomain === failureDomain && warmUpMilliseconds > 0) {
                this.warmUps.presume(upstream.id, warmUpMilliseconds);
            }
        }
        return duration;
    }

    /** Returns the number of evacuated failure domains. */
    countEvacuations(): number {
        return this.#evacuations.count();
    }

    /**
     * Returns an upstream, even if it is leaving.
     * @param id - The upstream's identifier.
     */
    get(id: string): RegisteredUpstream | undefined {
        return this.#upstreams.get(id);
    }

    /** Returns all upstreams, including leaving ones. */
    getAll(): Iterable<RegisteredUpstream> {
        return this.#upstreams.values();
    }

    /**
     * Returns the upstreams of a pool that accept requests, those that are warming up among them. The result is the same array until
     * something changes.
     * @param pool - Name of the pool.
     */
    getAvailable(pool: string): readonly RegisteredUpstream[] {
        this.#removeExpired();
        this.#byPool ??= this.#groupByPool();
        return this.#byPool.get(pool) ?? [];
    }

    /** Returns whether an upstream, as it was registered when a request was placed, still accepts requests. */
    isAvailable(upstream: RegisteredUpstream): boolean {
        const known = this.#upstreams.get(upstream.id);
        return known !== undefined && isSameIncarnation(known, upstream) && this.#acceptsRequests(known);
    }

    /**
     * Returns whether what answers at the address of an upstream is not what was registered when a request was placed: it has started
     * anew, or another one is registered with its address. One whose record was removed goes on for a while.
     */
    isReplaced(upstream: RegisteredUpstream): boolean {
        const known = this.#upstreams.get(upstream.id);
        if (known !== undefined && !isSameIncarnation(known, upstream)) {
            return true;
        }
        for (const other of this.getAvailable(upstream.pool)) {
            if (other.id !== upstream.id && other.address === upstream.address) {
                return true;
            }
        }
        return false;
    }

    /** Returns the names of the pools with upstreams that accept requests. */
    getPools(): Iterable<string> {
        this.#byPool ??= this.#groupByPool();
        return this.#byPool.keys();
    }

    #acceptsRequests(upstream: RegisteredUpstream): boolean {
        return !this.#isLeaving(upstream) && !this.#evacuations.has(upstream.failureDomain);
    }

    #isLeaving(upstream: RegisteredUpstream): boolean {
        return upstream.isLeaving || this.#announcements.isLeaving(upstream);
    }

    #handleChange(): void {
        this.#byPool = undefined;
        for (const listener of this.#changeListeners) {
            listener();
        }
    }

    #removeExpired(): void {
        const now = this.#clock.monotonic();
        for (const [id, until] of this.#expiryTimes) {
            const known = this.#upstreams.get(id);
            if (now >= until && known !== undefined) {
                this.#delete(known);
            }
        }
    }

    #delete(upstream: RegisteredUpstream): void {
        this.#upstreams.delete(upstream.id);
        this.#expiryTimes.delete(upstream.id);
        this.warmUps.remove(upstream.id);
        this.#handleChange();
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
            if (!this.#acceptsRequests(upstream)) {
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
