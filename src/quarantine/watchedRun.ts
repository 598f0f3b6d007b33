/**
 * A run of a request at an upstream, as the watch for crashed upstreams sees it.
 */
import type { Clock } from "../common/index.js";
import type { Quarantine } from "./quarantine.js";
import type { WatchedRequest } from "./watchedRequest.js";

/** The upstream of a run. */
export interface RunUpstream {
    readonly id: string;
    /** The address, as `HOST:PORT`. */
    readonly address: string;
}

/** Options of `WatchedRun`. */
export interface WatchedRunOptions {
    readonly request: WatchedRequest;
    readonly upstream: RunUpstream;
    readonly clock: Clock;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
}

/**
 * Time after the head of a stream within which a crash counts against the request, in milliseconds. A request that has run for
 * longer is not the one that crashes its runner as it begins to run.
 */
export const crashWindowMilliseconds = 400;
/** Longest pause between two pieces of an answer that arrives steadily. After a longer one this node may have stood still itself. */
const maxSteadyPauseMilliseconds = 300;

/** Remembers what was known of a request, and of the parts of its prompt, when it began to run. */
export class WatchedRun {
    readonly request: WatchedRequest;
    readonly upstream: RunUpstream;
    /** The points of what the request may crash upstreams by, by key, when it was sent; those that had none are missing. */
    readonly traitPoints: ReadonlyMap<string, number>;
    readonly #clock: Clock;
    readonly #quarantine: Quarantine;
    readonly #partQuarantine: Quarantine;
    readonly #isTrial: boolean;
    readonly #sentAt: number;
    #headAt: number | undefined;
    #partPoints: ReadonlyMap<string, number> | undefined;
    /** Time since which the answer arrives steadily, and that of its last piece. */
    #steadySince = 0;
    #lastPieceAt = 0;
    #hasOutlived = false;

    constructor({ request, upstream, clock, quarantine, partQuarantine }: WatchedRunOptions) {
        this.request = request;
        this.upstream = upstream;
        this.#clock = clock;
        this.#sentAt = clock.monotonic();
        this.#quarantine = quarantine;
        this.#partQuarantine = partQuarantine;
        this.traitPoints = quarantine.readPoints(request.getTraitKeys);
        this.#isTrial = this.#isHeldBack();
    }

    /** Whether the answer has started. */
    get hasHead(): boolean {
        return this.#headAt !== undefined;
    }

    /**
     * The points of the prompt's parts, by key: when the answer started, or now. Requests wait at upstreams for seconds, in which
     * other requests with the same part show what it does.
     */
    get partPoints(): ReadonlyMap<string, number> {
        return this.#partPoints ?? this.#readPartPoints();
    }

    /** Returns whether the request was quarantined since it was admitted, so that it may not be sent any more. */
    isWithdrawn(): boolean {
        return !this.#isTrial && this.#isHeldBack();
    }

    /** Records that the answer has started. */
    markHead(): void {
        this.#headAt = this.#clock.monotonic();
        this.#steadySince = this.#headAt;
        this.#lastPieceAt = this.#headAt;
        this.#partPoints = this.#readPartPoints();
    }

    /**
     * Records that a piece of the answer has arrived. An answer that goes on for long enough shows, long before its end, that the
     * parts of its prompt crash nothing.
     */
    markPiece(): void {
        const now = this.#clock.monotonic();
        if (now - this.#lastPieceAt > maxSteadyPauseMilliseconds) {
            this.#steadySince = now;
        }
        this.#lastPieceAt = now;
        if (!this.#hasOutlived && now - this.#steadySince > crashWindowMilliseconds) {
            this.#hasOutlived = true;
            this.#addPartSurvivals();
        }
    }

    /** Returns the time for which the request has run, in milliseconds. 0 until its answer starts. */
    getMilliseconds(): number {
        return this.#headAt === undefined ? 0 : this.#clock.monotonic() - this.#headAt;
    }

    /** Returns the time since the upstream last sent something for this run, in milliseconds. */
    getSilentMilliseconds(): number {
        return this.#clock.monotonic() - Math.max(this.#sentAt, this.#lastPieceAt);
    }

    /** Records that the request and the parts of its prompt have run without a crash. */
    addSurvival(): void {
        for (const key of this.request.getTraitKeys()) {
            this.#quarantine.addSurvival(key);
        }
        this.#addPartSurvivals();
    }

    #isHeldBack(): boolean {
        const { getTraitKeys, getPartKeys } = this.request;
        return this.#partQuarantine.isQuarantined(getPartKeys) || this.#quarantine.isQuarantined(getTraitKeys);
    }

    #addPartSurvivals(): void {
        for (const [part, points] of this.partPoints) {
            this.#partQuarantine.addSurvival(part, points);
        }
    }

    #readPartPoints(): ReadonlyMap<string, number> {
        const points = this.#partQuarantine.readPoints(this.request.getPartKeys);
        return new Map(this.request.getPartKeys().map(key => [key, points.get(key) ?? 0]));
    }
}
