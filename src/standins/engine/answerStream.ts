/**
 * The events of one streamed answer, kept so that a caller can take the stream up again.
 */

/** How an answer stands. */
export type AnswerState = "waiting" | "streaming" | "finished" | "failed" | "cancelled";

/** Keeps a stream's events and tells its readers of new ones. */
export class AnswerStream {
    readonly #events: string[] = [];
    readonly #listeners = new Set<() => void>();
    #state: AnswerState = "waiting";
    #readerCount = 0;

    /** Returns how the answer stands. */
    getState(): AnswerState {
        return this.#state;
    }

    /** Returns whether no further event will come. */
    isClosed(): boolean {
        return this.#state === "finished" || this.#state === "failed" || this.#state === "cancelled";
    }

    /**
     * Adds an event; its identifier is its place, from 1.
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
     * @returns A function that ends the calls.
     */
    subscribe(listener: () => void): () => void {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }

    /**
     * Calls a function at each change on behalf of a reader of the stream.
     * @param listener - The function.
     * @returns A function that ends the reading.
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

    /** Returns whether somebody reads the stream. */
    hasReaders(): boolean {
        return this.#readerCount > 0;
    }

    /** Waits until the first event or the end. */
    async waitForStart(): Promise<void> {
        await this.#waitWhile(() => this.#state === "waiting");
    }

    /** Waits until the end. */
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
