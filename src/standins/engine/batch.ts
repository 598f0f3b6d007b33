/**
 * Continuous batching: each step of a loop divides a token budget among the running sequences.
 */
import { type Clock, systemClock } from "../../common/index.js";

/** A loop that is more than this many steps late skips the missed steps instead of catching up. */
const maxCatchUpSteps = 4;

/** One request inside the batch. */
export interface Sequence {
    /** 0 is the highest priority. */
    readonly priority: number;
    /** KV memory that the sequence occupies while it runs, in tokens. */
    readonly memoryTokens: number;
    /** Returns the number of tokens that the sequence produces per step. */
    readonly getSpeed: () => number;
    /** Called at admission. Returns the number of prompt tokens that are not cached and must be computed. */
    readonly start: () => number;
    /** Called when the whole prompt is computed. */
    readonly finishPrefill: () => void;
    /** Produces one token; returns whether it was the last one. */
    readonly produceToken: () => boolean;
}

/** Limits of the batch, read at each step. */
export interface BatchLimits {
    readonly stepMilliseconds: number;
    readonly tokensPerStep: number;
    readonly maximumRunning: number;
    readonly memoryTokens: number;
    /** Whether steps are skipped, so that no sequence is admitted or produces a token. */
    readonly frozen: boolean;
}

interface RunningSequence {
    readonly sequence: Sequence;
    remainingPrefillTokens: number;
    isPrefilled: boolean;
    tokenCredit: number;
}

/** Runs sequences concurrently and admits those with the highest priority first. */
export class Batch {
    readonly #getLimits: () => BatchLimits;
    readonly #clock: Clock;
    readonly #waiting: Sequence[] = [];
    #running: RunningSequence[] = [];
    #usedMemory = 0;
    #timer: NodeJS.Timeout | undefined;
    #dueAt = 0;

    constructor(getLimits: () => BatchLimits, clock: Clock = systemClock) {
        this.#getLimits = getLimits;
        this.#clock = clock;
    }

    /** Returns the number of running sequences. */
    getRunningCount(): number {
        return this.#running.length;
    }

    /** Returns the number of sequences that wait for admission. */
    getWaitingCount(): number {
        return this.#waiting.length;
    }

    /** Queues a sequence behind all waiting sequences of the same or a higher priority. */
    add(sequence: Sequence): void {
        let index = this.#waiting.length;
        while (index > 0 && this.#waiting[index - 1].priority > sequence.priority) {
            index -= 1;
        }
        this.#waiting.splice(index, 0, sequence);
        if (this.#timer === undefined) {
            this.#dueAt = this.#clock.monotonic();
            this.#schedule();
        }
    }

    /** Removes a sequence, whether it waits or runs. */
    remove(sequence: Sequence): void {
        const index = this.#waiting.indexOf(sequence);
        if (index >= 0) {
            this.#waiting.splice(index, 1);
        }
        if (this.#running.some(member => member.sequence === sequence)) {
            this.#release(sequence);
        }
    }

    /** Stops the loop. */
    stop(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
    }

    /** Runs one step. */
    step(): void {
        const limits = this.#getLimits();
        if (limits.frozen) {
            return;
        }
        this.#admit(limits);
        const used = this.#decode();
        this.#prefill(Math.max(0, limits.tokensPerStep - used));
    }

    #schedule(): void {
        const { stepMilliseconds } = this.#getLimits();
        const now = this.#clock.monotonic();
        this.#dueAt += stepMilliseconds;
        if (this.#dueAt < now - maxCatchUpSteps * stepMilliseconds) {
            this.#dueAt = now;
        }
        this.#timer = setTimeout(() => this.#tick(), Math.max(0, this.#dueAt - now));
    }

    #tick(): void {
        this.#timer = undefined;
        this.step();
        if (this.#running.length + this.#waiting.length > 0 && this.#timer === undefined) {
            this.#schedule();
        }
    }

    #admit(limits: BatchLimits): void {
        while (this.#waiting.length > 0 && this.#running.length < limits.maximumRunning) {
            const sequence = this.#waiting[0];
            const fits = this.#usedMemory + sequence.memoryTokens <= limits.memoryTokens;
            if (!fits && this.#running.length > 0) {
                return;
            }
            this.#waiting.shift();
            this.#usedMemory += sequence.memoryTokens;
            this.#running.push({
                sequence,
                remainingPrefillTokens: sequence.start(),
                isPrefilled: false,
                tokenCredit: 0,
            });
        }
    }

    #decode(): number {
        let usedTokens = 0;
        for (const running of [...this.#running]) {
            if (!running.isPrefilled) {
                continue;
            }
            running.tokenCredit += running.sequence.getSpeed();
            while (running.tokenCredit >= 1) {
                running.tokenCredit -= 1;
                usedTokens += 1;
                if (running.sequence.produceToken()) {
                    this.#release(running.sequence);
                    break;
                }
            }
        }
        return usedTokens;
    }

    #prefill(budget: number): void {
        let remaining = budget;
        for (const running of this.#running) {
            if (running.isPrefilled) {
                continue;
            }
            const tokens = Math.min(remaining, running.remainingPrefillTokens);
            running.remainingPrefillTokens -= tokens;
            remaining -= tokens;
            if (running.remainingPrefillTokens <= 0) {
                running.isPrefilled = true;
                running.sequence.finishPrefill();
            }
        }
    }

    #release(sequence: Sequence): void {
        this.#running = this.#running.filter(member => member.sequence !== sequence);
        this.#usedMemory -= sequence.memoryTokens;
    }
}
