/**
 * Tasks of a replay that run at their times, in steps of its clock.
 */
import type { Clock } from "../../src/common/index.js";

/** Runs tasks when their time has come. */
export class TaskSchedule {
    readonly #clock: Clock;
    readonly #stepMilliseconds: number;
    /** By monotonic time. */
    readonly #tasks = new Map<number, (() => void)[]>();

    /**
     * @param clock - The clock of the replay.
     * @param stepMilliseconds - The time by which the clock advances at once.
     */
    constructor(clock: Clock, stepMilliseconds: number) {
        this.#clock = clock;
        this.#stepMilliseconds = stepMilliseconds;
    }

    /** Adds a task that runs after a time, rounded up to whole steps. */
    add(afterMilliseconds: number, run: () => void): void {
        const steps = Math.max(1, Math.ceil(afterMilliseconds / this.#stepMilliseconds));
        const at = this.#clock.monotonic() + steps * this.#stepMilliseconds;
        const tasks = this.#tasks.get(at);
        if (tasks === undefined) {
            this.#tasks.set(at, [run]);
        }
        else {
            tasks.push(run);
        }
    }

    /** Runs the tasks of this step. */
    runDue(): void {
        const now = this.#clock.monotonic();
        for (const run of this.#tasks.get(now) ?? []) {
            run();
        }
        this.#tasks.delete(now);
    }
}
