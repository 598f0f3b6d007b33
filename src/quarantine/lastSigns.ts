/**
 * When upstreams last sent something, whatever it was.
 */

/** Maximum number of upstreams in memory. Those that have sent nothing for longest make room for others. */
const maxUpstreams = 4_000;

/** An upstream between its start and its end. */
export interface UpstreamIncarnation {
    readonly id: string;
    /** When it started, in milliseconds since the Unix epoch, if it says so. */
    readonly startedAt?: number | undefined;
}

/** Remembers when each upstream last sent something. */
export class LastSigns {
    /** Monotonic times by upstream, the oldest first. */
    readonly #times = new Map<string, number>();

    /** Records that an upstream has sent something. */
    mark(upstream: UpstreamIncarnation, now: number): void {
        const key = getIncarnationKey(upstream);
        this.#times.delete(key);
        this.#times.set(key, now);
        if (this.#times.size > maxUpstreams) {
            const [oldest] = this.#times.keys();
            this.#times.delete(oldest);
        }
    }

    /** Returns when an upstream last sent something. */
    get(upstream: UpstreamIncarnation): number {
        return this.#times.get(getIncarnationKey(upstream)) ?? Number.NEGATIVE_INFINITY;
    }
}

/** Returns a key that differs for an upstream that has started anew. */
export function getIncarnationKey({ id, startedAt }: UpstreamIncarnation): string {
    return `${id} ${startedAt}`;
}
