/**
 * Simulates a runner that works on a bounded number of requests at once, lets others wait, states its load with each answer and
 * falls silent as a whole for a time, after which it goes on.
 */
import { setMaxListeners } from "node:events";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createSeal, type ReceivedRequest, type RunnerStandin } from "./runnerStandin.js";

/** Requests that wait for a slot; a runner rejects others. */
const maxWaiting = 100;

/** What a runner does with its requests. */
export interface SlottedWork {
    /** Requests that are worked on at once. */
    readonly slots: number;
    /** Time between the events of a stream. */
    readonly eventMilliseconds: number;
    /** Time that an answer without events takes. */
    readonly callMilliseconds: number;
    /** Returns the number of events of the whole answer to a stream; undefined for an answer without events. */
    readonly getEventCount: (target: string) => number | undefined;
    /** Returns the factor by which a model's events take longer. */
    readonly getPace?: ((model: string) => number) | undefined;
    /** Returns a model's confidence in its answer to a request; undefined if it states none. */
    readonly getConfidence?: ((request: ReceivedRequest, model: string) => number) | undefined;
}

/** Works on the requests that a stand-in receives. */
export class SlottedRunner {
    readonly #work: SlottedWork;
    readonly #waiting: (() => void)[] = [];
    readonly #closing = new AbortController();
    #running = 0;
    #silentUntil = 0;

    /**
     * @param runner - The stand-in that it takes over.
     * @param work - What it does.
     */
    constructor(runner: RunnerStandin, work: SlottedWork) {
        this.#work = work;
        setMaxListeners(0, this.#closing.signal);
        runner.behaviour = (request, response) => this.#answer(request, response);
    }

    /** Sends nothing for a time, begins nothing and notices nothing of what arrives. */
    silence(milliseconds: number): void {
        this.#silentUntil = Math.max(this.#silentUntil, performance.now() + milliseconds);
    }

    /** Ends all waits, whose timers would keep the process running. */
    close(): void {
        this.#closing.abort();
    }

    async #answer(request: ReceivedRequest, response: ServerResponse): Promise<void> {
        await this.#wait(0);
        if (this.#running >= this.#work.slots && this.#waiting.length >= maxWaiting) {
            const headers = { "Attempt-Id": String(request.headers["attempt-id"]), "Not-Executed": "1" };
            response.writeHead(503, { ...headers, ...this.#createLoad() }).end();
            return;
        }
        await this.#takeSlot();
        if (!response.destroyed) {
            const last = this.#work.getEventCount(request.target);
            await (last === undefined
                ? this.#answerCall(request, response)
                : this.#answerStream(request, response, last));
        }
        this.#freeSlot();
    }

    async #answerStream(request: ReceivedRequest, response: ServerResponse, last: number): Promise<void> {
        const { eventMilliseconds, getPace } = this.#work;
        const milliseconds = eventMilliseconds * (getPace?.(getModel(request)) ?? 1);
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id <= last; id += 1) {
            await this.#wait(milliseconds);
            if (response.destroyed) {
                return;
            }
            if (!response.headersSent) {
                response.writeHead(200, this.#createStreamHeaders(request));
            }
            response.write(createEvent(id));
        }
        if (!response.headersSent) {
            response.writeHead(200, this.#createStreamHeaders(request));
        }
        response.end();
    }

    async #answerCall(request: ReceivedRequest, response: ServerResponse): Promise<void> {
        await this.#wait(this.#work.callMilliseconds);
        response.writeHead(200, { ...createSeal(request), ...this.#createLoad() }).end("done");
    }

    /** Waits for a time, and until the silence ends. */
    async #wait(milliseconds: number): Promise<void> {
        const { signal } = this.#closing;
        const until = performance.now() + milliseconds;
        for (;;) {
            const left = Math.max(until, this.#silentUntil) - performance.now();
            if (left <= 0 || signal.aborted) {
                return;
            }
            // An aborted wait is over.
            await sleep(left, undefined, { signal }).catch(() => undefined);
        }
    }

    async #takeSlot(): Promise<void> {
        if (this.#running < this.#work.slots) {
            this.#running += 1;
            return;
        }
        await new Promise<void>(resolve => this.#waiting.push(resolve));
    }

    /** Passes the slot on to the request that has waited longest. */
    #freeSlot(): void {
        const next = this.#waiting.shift();
        if (next === undefined) {
            this.#running -= 1;
            return;
        }
        next();
    }

    #createStreamHeaders(request: ReceivedRequest): Readonly<Record<string, string>> {
        const confidence = this.#work.getConfidence?.(request, getModel(request));
        return {
            ...createSeal(request),
            "Content-Type": "text/event-stream",
            ...this.#createLoad(),
            ...(confidence === undefined ? {} : { Confidence: String(confidence) }),
        };
    }

    #createLoad(): Readonly<Record<string, string>> {
        return { "Server-Load": `${this.#running},${this.#waiting.length},${this.#work.slots}` };
    }
}

function getModel(request: ReceivedRequest): string {
    return String(request.headers.model ?? "");
}

/** Returns the bytes of an event. */
export function createEvent(id: number): string {
    return `id: ${id}\ndata: ${id}\n\n`;
}
