/**
 * Collects a node's evidence on one roll-out from the attempts that it makes, including those that still wait for their answers.
 */
import type { Clock } from "../common/index.js";
import { AttemptWatch, type WatchedAttempt } from "./attemptWatch.js";
import {
    addEvidence,
    addToSegment,
    countTime,
    type EvidenceCounts,
    type EvidenceTime,
    RolloutEvidence,
    type SegmentCounts,
} from "./rolloutEvidence.js";

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
    readonly #waiting = new Set<AttemptWatch>();
    /** Monotonic milliseconds of the last head of an answer, by upstream. */
    readonly #lastHeads = new Map<string, number>();

    constructor(options: AttemptEvidenceOptions) {
        this.#options = options;
    }

    /** Starts to watch an attempt. */
    start(attempt: WatchedAttempt): AttemptWatch {
        const watch = new AttemptWatch({
            attempt,
            getNow: () => this.#options.clock.monotonic(),
            onTime: time => {
                this.#lastHeads.set(attempt.upstream, this.#options.clock.monotonic());
                this.#addTime(attempt, time);
            },
            onOutcome: hasFailed => {
                this.#evidence.addOutcome(attempt, hasFailed, this.#options.clock.monotonic());
                if (attempt.isCandidate && hasFailed) {
                    this.#options.onFailure();
                }
            },
            onPause: milliseconds => {
                if (attempt.isComparable) {
                    this.#evidence.addPause(attempt, milliseconds, this.#options.clock.monotonic());
                }
            },
            onGivenUp: (ended, time) => void this.#addGivenUp(ended, time),
            onWaitEnd: ended => this.#waiting.delete(ended),
        });
        if (attempt.isComparable) {
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
        return addEvidence([this.#evidence.getCounts(this.#options.clock.monotonic()), waits]);
    }

    async #addGivenUp(watch: AttemptWatch, time: EvidenceTime): Promise<void> {
        if (this.#hasAnsweredSince(watch) || await this.#options.isRunning(watch.attempt.upstream)) {
            this.#addTime(watch.attempt, time);
        }
    }

    #addTime(attempt: WatchedAttempt, time: EvidenceTime): void {
        if (attempt.isComparable) {
            this.#evidence.addTime(attempt, time, this.#options.clock.monotonic());
        }
    }

    /** Returns whether an upstream has answered another request since an attempt at it began, so that it has not crashed before. */
    #hasAnsweredSince({ attempt, startedAt }: AttemptWatch): boolean {
        return (this.#lastHeads.get(attempt.upstream) ?? Number.NEGATIVE_INFINITY) >= startedAt;
    }
}
