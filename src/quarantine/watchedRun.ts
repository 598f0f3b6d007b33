/**
 * A run of a request at an upstream, as the watch for crashed upstreams sees it.
 */
import type { Clock } from "../common/index.js";
import type { LastSigns, UpstreamIncarnation } from "./lastSigns.js";
import type { Quarantine } from "./quarantine.js";
import type { EndTime } from "./recentEnds.js";
import type { UpstreamLife } from "./upstreamLife.js";
import type { WatchedRequest } from "./watchedRequest.js";

/** The upstream of a run, as it was when the run was sent. */
export interface RunUpstream extends UpstreamIncarnation {
    /** Returns whether its machine answers that nothing listens at its address. */
    readonly isRefusingConnections: () => Promise<boolean>;
    /** Asks whether this upstream still runs, of one that does not refuse connections. */
    readonly getLife: () => Promise<UpstreamLife>;
}

/** What is known of a run when it is sent. */
export interface RunDescription {
    readonly upstream: RunUpstream;
    /** Whether the upstream may crash under its load. */
    readonly mayBeLoad?: boolean;
    /** Returns whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: () => boolean;
}

/** Options of `WatchedRun`. */
export interface WatchedRunOptions extends RunDescription {
    readonly request: WatchedRequest;
    readonly clock: Clock;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
    readonly lastSigns: LastSigns;
}

/** The end of a run, as far as its moment is known. */
export interface RunMoment {
    /** How long the request had run, in milliseconds. 0 if its answer had not started. */
    readonly runMilliseconds: number;
    /** How long the upstream has sent nothing, for this run and for any other, in milliseconds. */
    readonly silentMilliseconds: number;
    /**
     * Whether the upstream was alive when the request was sent. One that was unresponsive before did not end by it, and callers who send
     * harmless requests meet such ones one after the other.
     */
    readonly aliveWhenSent: "certain" | "likely" | "unknown";
    readonly endTime: EndTime;
    /** Wall-clock times of the end, and from which on the request may have run, in milliseconds since the Unix epoch. */
    readonly endedAt: number;
    readonly beganAt: number;
    /** Wall-clock time at which the upstream was last heard, or the request was sent. One that has started anew may have ended then. */
    readonly heardAt: number;
}

/**
 * Time after the head of a stream within which a crash counts against the request, in milliseconds. A request that has run for
 * longer is not the one that crashes its runner as it begins to run.
 */
export const crashWindowMilliseconds = 400;
/** Time without anything from an upstream after which it may have ended, in milliseconds. A sound one may be silent for a second. */
export const silenceMilliseconds = 1_000;
/** Time after which an upstream that resets a connection has worked on its request, in milliseconds. */
const minWorkMilliseconds = 20;
/** Longest pause between two pieces of an answer that arrives steadily. After a longer one this node may have stood still itself. */
const maxSteadyPauseMilliseconds = 300;

/** Remembers what was known of a request, and of the parts of its prompt, when it began to run. */
export class WatchedRun {
    readonly request: WatchedRequest;
    readonly upstream: RunUpstream;
    /** Whether the upstream may crash under its load. */
    readonly mayBeLoad: boolean;
    /** Returns whether this node sends the request to no other upstream until its caller sends it again. */
    readonly isLastAttempt: () => boolean;
    /** The points of what the request may crash upstreams by, by key, when it was sent; those that had none are missing. */
    readonly traitPoints: ReadonlyMap<string, number>;
    readonly #clock: Clock;
    readonly #quarantine: Quarantine;
    readonly #partQuarantine: Quarantine;
    readonly #lastSigns: LastSigns;
    readonly #isTrial: boolean;
    readonly #sentAt: number;
    /** Wall-clock time at which the request was sent. */
    readonly #sentWall: number;
    #headAt: number | undefined;
    #partPoints: ReadonlyMap<string, number>;
    /** Time since which the answer arrives steadily, and that of its last piece. */
    #steadySince = 0;
    #lastPieceAt = 0;
    #hasOutlived = false;

    constructor(options: WatchedRunOptions) {
        const { request, upstream, clock, quarantine, partQuarantine, lastSigns } = options;
        this.request = request;
        this.upstream = upstream;
        this.mayBeLoad = options.mayBeLoad ?? false;
        this.isLastAttempt = options.isLastAttempt;
        this.#clock = clock;
        this.#quarantine = quarantine;
        this.#partQuarantine = partQuarantine;
        this.#lastSigns = lastSigns;
        this.#sentAt = clock.monotonic();
        this.#sentWall = clock.wall();
        this.traitPoints = quarantine.readPoints(request.getTraitKeys);
        this.#partPoints = partQuarantine.readPoints(request.getPartKeys);
        this.#isTrial = this.#isHeldBack();
    }

    /** Whether the answer has started. */
    get hasHead(): boolean {
        return this.#headAt !== undefined;
    }

    /** Wall-clock time at which the request was sent, in milliseconds since the Unix epoch. */
    get sentAt(): number {
        return this.#sentWall;
    }

    /**
     * The points of the prompt's parts, by key: when the answer started, or when the request was sent. Requests wait at upstreams for
     * seconds, in which other requests with the same part show what it does.
     */
    get partPoints(): ReadonlyMap<string, number> {
        return new Map(this.request.getPartKeys().map(key => [key, this.#partPoints.get(key) ?? 0]));
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
        this.#lastSigns.mark(this.upstream, this.#headAt);
        this.#partPoints = this.#partQuarantine.readPoints(this.request.getPartKeys);
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
        this.#lastSigns.mark(this.upstream, now);
        if (!this.#hasOutlived && now - this.#steadySince > crashWindowMilliseconds) {
            this.#hasOutlived = true;
            this.#addPartSurvivals();
        }
    }

    /**
     * Returns what is known of the end of the run, which is noticed now. An upstream that has been silent for longer than a sound one has
     * ended when it was last heard. A request that waits may have begun at any moment.
     */
    getMoment(): RunMoment {
        const now = this.#clock.monotonic();
        const lastSignAt = Math.max(this.#lastPieceAt, this.#lastSigns.get(this.upstream));
        const heardAt = Math.max(this.#sentAt, lastSignAt);
        const silentMilliseconds = now - heardAt;
        const endedAt = silentMilliseconds >= silenceMilliseconds ? heardAt : now;
        const isTimeKnown = endedAt === now || lastSignAt >= this.#sentAt;
        const runMilliseconds = this.#headAt === undefined ? 0 : Math.max(0, endedAt - this.#headAt);
        const endedWall = this.#clock.wall() - (now - endedAt);
        return {
            runMilliseconds,
            silentMilliseconds,
            aliveWhenSent: this.#wasAliveWhenSent(lastSignAt, now),
            endTime: isTimeKnown ? { earliest: endedAt, latest: endedAt } : { earliest: lastSignAt, latest: now },
            endedAt: endedWall,
            beganAt: endedWall - runMilliseconds,
            heardAt: endedWall - (endedAt - heardAt),
        };
    }

    /**
     * An upstream from which something came since, for this run or for any other, was alive. One that fell silent was likely alive if it had
     * not yet been silent for longer than a sound one, and one that resets a connection if it had worked: another process that holds its
     * address does so at once.
     */
    #wasAliveWhenSent(lastSignAt: number, endedAt: number): RunMoment["aliveWhenSent"] {
        if (lastSignAt >= this.#sentAt) {
            return "certain";
        }
        const milliseconds = endedAt - this.#sentAt;
        const wasLikelyAlive = milliseconds >= silenceMilliseconds
            ? this.#sentAt - lastSignAt < silenceMilliseconds
            : milliseconds >= minWorkMilliseconds;
        return wasLikelyAlive ? "likely" : "unknown";
    }

    /** Records that the request and the parts of its prompt have run without a crash. */
    addSurvival(): void {
        for (const key of this.request.getTraitKeys()) {
            this.#quarantine.addSurvival(key, Number.POSITIVE_INFINITY, this.#sentWall);
        }
        this.#addPartSurvivals();
    }

    #isHeldBack(): boolean {
        const { getTraitKeys, getPartKeys } = this.request;
        return this.#partQuarantine.isQuarantined(getPartKeys) || this.#quarantine.isQuarantined(getTraitKeys);
    }

    #addPartSurvivals(): void {
        const now = this.#clock.monotonic();
        const beganAt = this.#headAt === undefined ? this.#sentWall : this.#clock.wall() - (now - this.#headAt);
        for (const [part, points] of this.partPoints) {
            this.#partQuarantine.addSurvival(part, points, beganAt);
        }
    }
}
