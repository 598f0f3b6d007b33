/**
 * Watches one attempt at an upstream of a pool that is being moved to another version.
 */
import type { EvidenceKind, EvidencePause, EvidenceTime } from "./rolloutEvidence.js";

/** Number of pauses of a stream after which its usual pause is known. */
const usualPauseCount = 16;

/** An attempt that begins. */
export interface WatchedAttempt extends EvidenceKind {
    readonly upstream: string;
    /** Whether the upstream is warming up. */
    readonly isWarmingUp: boolean;
    /** Expected requests at the upstream, as a share of its slots. */
    readonly load: number;
}

/**
 * How an attempt ended.
 * - `answered`: with an answer.
 * - `failed`: with an answer that is a failure of the upstream.
 * - `given-up`: this node ended it before its answer began, since its caller had left or its time was over.
 * - `unknown`: in another way that says nothing about the version, such as a broken connection.
 */
export type AttemptEnd = "answered" | "failed" | "given-up" | "unknown";

/** Receives what is learned of attempts. */
export interface AttemptWatchOptions {
    readonly attempt: WatchedAttempt;
    readonly getNow: () => number;
    readonly onTime: (time: EvidenceTime) => void;
    readonly onOutcome: (hasFailed: boolean) => void;
    readonly onPause: (milliseconds: number) => void;
    /** Called when the attempt ended before its answer began. */
    readonly onGivenUp: (watch: AttemptWatch, time: EvidenceTime) => void;
    /** Called when an answer that had begun was broken off. */
    readonly onBrokenOff: (watch: AttemptWatch) => void;
    /** Called when the attempt waits for its answer no longer. */
    readonly onWaitEnd: (watch: AttemptWatch) => void;
    /** Called when the attempt has ended. */
    readonly onEnd: (watch: AttemptWatch) => void;
}

/** Watches one attempt. */
export class AttemptWatch {
    readonly attempt: WatchedAttempt;
    /** Monotonic milliseconds. */
    readonly startedAt: number;
    readonly #options: AttemptWatchOptions;
    #isWaiting = true;
    #hasPause = false;
    /** Monotonic milliseconds at which the head arrived. */
    #headAt: number | undefined;

    constructor(options: AttemptWatchOptions) {
        this.attempt = options.attempt;
        this.startedAt = options.getNow();
        this.#options = options;
    }

    /** Returns the time that the attempt has waited for its answer until now. */
    getWait(): EvidenceTime {
        return { milliseconds: this.#options.getNow() - this.startedAt, hasHead: false };
    }

    /**
     * Returns the lower bound of the usual pause of an answer that has begun, or undefined if its usual pause is known. It becomes
     * known after some pauses, so those until now are on average at least as long.
     * @param until - Monotonic milliseconds until which the upstream was certainly at work.
     */
    getPauseWait(until: number): EvidencePause | undefined {
        if (this.#headAt === undefined || this.#hasPause) {
            return undefined;
        }
        return { milliseconds: Math.max(0, until - this.#headAt) / usualPauseCount, isKnown: false };
    }

    /** Records that the head of a successful answer has arrived. */
    markHead(): void {
        this.#endWait();
        this.#headAt = this.#options.getNow();
        this.#options.onTime({ ...this.getWait(), hasHead: true });
    }

    /** Records a usual pause between the parts of the answer. Only the first one counts, since those of one answer are alike. */
    addPause(milliseconds: number): void {
        if (!this.#hasPause) {
            this.#hasPause = true;
            this.#options.onPause(milliseconds);
        }
    }

    /** Records the end of the attempt. */
    end(end: AttemptEnd): void {
        const isWaiting = this.#isWaiting;
        this.#endWait();
        if (end === "answered" || end === "failed") {
            this.#options.onOutcome(end === "failed");
        }
        else if (end === "given-up" && isWaiting) {
            this.#options.onGivenUp(this, this.getWait());
        }
        else if (!isWaiting) {
            this.#options.onBrokenOff(this);
        }
        this.#options.onEnd(this);
    }

    #endWait(): void {
        this.#isWaiting = false;
        this.#options.onWaitEnd(this);
    }
}
