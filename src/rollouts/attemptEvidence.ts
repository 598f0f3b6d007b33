/**
 * Collects a node's evidence on one roll-out from the attempts that it makes, including those that still wait for their answers.
 */
import type { Clock } from "../common/index.js";
import { RecentQuantiles } from "../decisions/index.js";
import { AttemptWatch, type WatchedAttempt } from "./attemptWatch.js";
import {
    addEvidence,
    addToSegment,
    countPause,
    countTime,
    type EvidenceCounts,
    type EvidenceTime,
    RolloutEvidence,
    type SegmentCounts,
} from "./rolloutEvidence.js";

/** Load of an upstream of which all slots are taken: further requests wait there. */
const fullLoad = 1;
/** Load up to which an upstream is not busy, however little the old version's upstreams had to do. */
const minBusyLoad = 0.25;
/** Key of the loads of the old version's upstreams, and the factor by which they become values with enough resolution. */
const loadKey = "load";
const loadScale = 100;

/** Options of `AttemptEvidence`. */
export interface AttemptEvidenceOptions {
    readonly clock: Clock;
    /** Returns whether an upstream runs, since a crashed one also leaves attempts without an answer. */
    readonly isRunning: (upstream: string) => Promise<boolean>;
    /** Called after a failure of the new version was added. */
    readonly onFailure: () => void;
}

/** Collects evidence. */
export class AttemptEvidence {
    readonly #options: AttemptEvidenceOptions;
    readonly #evidence = new RolloutEvidence();
    /** Loads under which the old version's attempts began. */
    readonly #currentLoads: RecentQuantiles;
    readonly #waiting = new Set<AttemptWatch>();
    /** Attempts whose answers have begun. */
    readonly #answering = new Set<AttemptWatch>();
    /** Monotonic milliseconds of the last head of an answer, by upstream. */
    readonly #lastHeads = new Map<string, number>();

    constructor(options: AttemptEvidenceOptions) {
        this.#options = options;
        this.#currentLoads = new RecentQuantiles(options.clock);
    }

    /** Starts to watch an attempt. */
    start(attempt: WatchedAttempt): AttemptWatch {
        const isComparable = this.#isComparable(attempt);
        const watch = new AttemptWatch({
            attempt,
            getNow: () => this.#options.clock.monotonic(),
            onTime: time => {
                this.#lastHeads.set(attempt.upstream, this.#options.clock.monotonic());
                if (isComparable) {
                    this.#addTime(attempt, time);
                    this.#answering.add(watch);
                }
            },
            onOutcome: hasFailed => {
                this.#evidence.addOutcome(attempt, hasFailed, this.#options.clock.monotonic());
                if (attempt.isCandidate && hasFailed) {
                    this.#options.onFailure();
                }
            },
            onPause: milliseconds => {
                if (isComparable) {
                    this.#evidence.addPause(attempt, milliseconds, this.#options.clock.monotonic());
                }
            },
            onGivenUp: (ended, time) => {
                if (isComparable) {
                    void this.#addGivenUp(ended, time);
                }
            },
            onBrokenOff: ended => {
                const pause = ended.getPauseWait(this.#getLastHead(ended));
                if (isComparable && pause !== undefined) {
                    this.#evidence.addPauseWait(attempt, pause.milliseconds, this.#options.clock.monotonic());
                }
            },
            onWaitEnd: ended => this.#waiting.delete(ended),
            onEnd: ended => this.#answering.delete(ended),
        });
        if (isComparable) {
            this.#waiting.add(watch);
        }
        return watch;
    }

    /** Returns the counts of the last seconds. */
    getCounts(): EvidenceCounts {
        const waits = new Map<string, SegmentCounts>();
        for (const watch of this.#waiting) {
            if (this.#hasAnsweredSince(watch)) {
                addToSegment(waits, watch.attempt, countTime(watch.attempt, watch.getWait()));
            }
        }
        for (const watch of this.#answering) {
            // A runner that is silent as a whole says nothing about its pauses, so its last answer counts instead of the present.
            const pause = watch.getPauseWait(this.#getLastHead(watch));
            if (pause !== undefined) {
                addToSegment(waits, watch.attempt, countPause(watch.attempt, pause));
            }
        }
        return addEvidence([this.#evidence.getCounts(this.#options.clock.monotonic()), waits]);
    }

    /**
     * Returns whether the time of an attempt says something about its version. Under a burst, or with half of its upstreams gone, a
     * good version that serves everything would look slow beside the old one's times of before.
     */
    #isComparable({ isCandidate, isWarmingUp, load }: WatchedAttempt): boolean {
        if (!isCandidate) {
            this.#currentLoads.add(loadKey, load * loadScale);
        }
        return !isWarmingUp && load <= (isCandidate ? this.#getMaxLoad() : fullLoad);
    }

    /** Returns the load up to which the new version's upstreams are no busier than the old one's were. */
    #getMaxLoad(): number {
        const highLoad = this.#currentLoads.getHigh(loadKey);
        return highLoad === undefined ? fullLoad : Math.min(fullLoad, Math.max(minBusyLoad, highLoad / loadScale));
    }

    async #addGivenUp(watch: AttemptWatch, time: EvidenceTime): Promise<void> {
        if (this.#hasAnsweredSince(watch) || await this.#options.isRunning(watch.attempt.upstream)) {
            this.#addTime(watch.attempt, time);
        }
    }

    #addTime(attempt: WatchedAttempt, time: EvidenceTime): void {
        this.#evidence.addTime(attempt, time, this.#options.clock.monotonic());
    }

    /** Returns whether an upstream has answered another request since an attempt at it began, so that it has not crashed before. */
    #hasAnsweredSince(watch: AttemptWatch): boolean {
        return this.#getLastHead(watch) >= watch.startedAt;
    }

    /** Returns the monotonic milliseconds of the last head of an answer of the upstream of an attempt. */
    #getLastHead({ attempt }: AttemptWatch): number {
        return this.#lastHeads.get(attempt.upstream) ?? Number.NEGATIVE_INFINITY;
    }
}
