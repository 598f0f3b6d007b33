/**
 * Events of one streamed answer, retained so that a caller can resume the stream.
 */

/** State of an answer. */
export type AnswerState = "waiting" | "streaming" | "finished" | "failed" | "cancelled";

/** Stores a stream's events and notifies its readers of new ones. */
export class AnswerStream {
    readonly #events: string[] = [];
    readonly #listeners = new Set<() => void>();
    #state: AnswerState = "waiting";
    #readerCount = 0;

    /** Returns the state of the answer. */
    getState(): AnswerState {
        return this.#state;
    }

    /** Returns whether the stream has ended, so that no further event follows. */
    isClosed(): boolean {
        return this.#state === "finished" || this.#state === "failed" || this.#state === "cancelled";
    }

    /**
     * Adds an event. Its identifier is its position in the stream, counted from 1.
     * @param data - The event's data.
     */
    add(data: string): void {
        this.#state = "streaming";
        this.#events.push(`id: ${this.#events.length + 1}\ndata: ${data}\n\n`);
        this.#notify();
    }

    /** Ends the stream. */
    close(state: "finished" | "failed" | "cancelled"): void {
        if (this.isClosed()) {
            return;
        }
        this.#state = state;
        this.#notify();
    }

    /** Returns the events after the one with this identifier. */
    getEventsAfter(identifier: number): readonly string[] {
        return this.#events.slice(identifier);
    }

    /**
     * Calls a function at each change.
     * @param listener - The function.
     * @returns A function that removes the listener.
     */
    subscribe(listener: () => void): () => void {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }

    /**
     * Adds a reader of the stream and calls a function at each change.
     * @param listener - The function.
     * @returns A function that removes the reader.
     */
    addReader(listener: () => void): () => void {
        const unsubscribe = this.subscribe(listener);
        let isReading = true;
        this.#readerCount += 1;
        return () => {
            unsubscribe();
            this.#readerCount -= isReading ? 1 : 0;
            isReading = false;
        };
    }

    /** Returns whether the stream has readers. */
    hasReaders(): boolean {
        return this.#readerCount > 0;
    }

    /** Waits for the first event or the end of the stream. */
    async waitForStart(): Promise<void> {
        await this.#waitWhile(() => this.#state === "waiting");
    }

    /** Waits for the end of the stream. */
    async waitForEnd(): Promise<void> {
        await this.#waitWhile(() => !this.isClosed());
    }

    #waitWhile(condition: () => boolean): Promise<void> {
        if (!condition()) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const unsubscribe = this.subscribe(() => {
                if (!condition()) {
                    unsubscribe();
                    resolve();
                }
            });
        });
    }

    #notify(): void {
        for (const listener of [...this.#listeners]) {
            listener();
        }
    }
}
