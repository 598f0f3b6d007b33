/**
 * Event queue for discrete-event simulations: the decisions run on seeded random draws and a manual clock.
 */
import { ManualClock } from "../common/index.js";

interface FutureEvent {
    readonly time: number;
    /** Breaks ties: events with the same time run in the order in which they were added. */
    readonly order: number;
    readonly run: () => void;
    isCancelled: boolean;
}

/** Runs events in the order of their times. */
export class EventQueue {
    /** The clock that the decisions read. */
    readonly clock = new ManualClock();
    readonly #heap: FutureEvent[] = [];
    #nextOrder = 0;

    /** Returns the current time in milliseconds. */
    now(): number {
        return this.clock.monotonic();
    }

    /**
     * Schedules a function.
     * @param milliseconds - The delay from now.
     * @param run - The function to run.
     * @returns A function that cancels it.
     */
    schedule(milliseconds: number, run: () => void): () => void {
        const event = { time: this.now() + Math.max(0, milliseconds), order: this.#nextOrder, run, isCancelled: false };
        this.#nextOrder += 1;
        this.#push(event);
        return () => {
            event.isCancelled = true;
        };
    }

    /**
     * Runs the events up to a time and sets the clock to it.
     * @param end - The time, in milliseconds.
     */
    runUntil(end: number): void {
        while (this.#heap.length > 0 && this.#heap[0].time <= end) {
            const event = this.#pop();
            if (event.isCancelled) {
                continue;
            }
            this.clock.advance(event.time - this.now());
            event.run();
        }
        this.clock.advance(Math.max(0, end - this.now()));
    }

    #push(event: FutureEvent): void {
        const heap = this.#heap;
        heap.push(event);
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (isBefore(heap[parent], heap[index])) {
                return;
            }
            [heap[parent], heap[index]] = [heap[index], heap[parent]];
            index = parent;
        }
    }

    #pop(): FutureEvent {
        const heap = this.#heap;
        const first = heap[0];
        const last = heap[heap.length - 1];
        heap.length -= 1;
        if (heap.length > 0) {
            heap[0] = last;
            this.#sink();
        }
        return first;
    }

    #sink(): void {
        const heap = this.#heap;
        let index = 0;
        while (true) {
            const left = 2 * index + 1;
            if (left >= heap.length) {
                return;
            }
            const right = left + 1;
            const child = right < heap.length && isBefore(heap[right], heap[left]) ? right : left;
            if (isBefore(heap[index], heap[child])) {
                return;
            }
            [heap[child], heap[index]] = [heap[index], heap[child]];
            index = child;
        }
    }
}

function isBefore(first: FutureEvent, second: FutureEvent): boolean {
    return first.time < second.time || first.time === second.time && first.order < second.order;
}
