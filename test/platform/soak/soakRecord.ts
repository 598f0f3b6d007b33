/** What a soak test has done and found. */

/** Collects faults and violations, with the milliseconds since the start of the faults. */
export class SoakRecord {
    readonly timeLine: string[] = [];
    readonly violations: string[] = [];
    #startedAt = performance.now();

    /** Monotonic time of the start. */
    get startedAt(): number {
        return this.#startedAt;
    }

    /** Counts from now on, as all nodes are ready: on a busy machine, they take a good part of a short soak to start. */
    start(): void {
        this.#startedAt = performance.now();
    }

    /** Adds a fault. */
    addFault(text: string): void {
        this.timeLine.push(`${this.getElapsed()} ${text}`);
    }

    /** Adds a violation. */
    addViolation(text: string): void {
        this.violations.push(text);
    }

    /** Returns the milliseconds since the start. */
    getElapsed(): number {
        return Math.round(performance.now() - this.startedAt);
    }
}

/** Waits for a time. */
export function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Draws one of some items. */
export function draw<T>(random: { nextInteger(bound: number): number; }, items: readonly T[]): T {
    return items[random.nextInteger(items.length)];
}
