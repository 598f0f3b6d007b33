/** Callers of a soak test. They send requests to random nodes, keep connections open, and record what they observe. */
import { Agent, request as sendRequest } from "undici";
import type { RandomSource } from "../../../src/common/index.js";
import { createPromptHeaders, createPromptParts } from "./soakCrashes.js";

const callerPort = 7_001;
const deadlineMilliseconds = 2_500;
const pauseMilliseconds = 30;
/** Pause between two requests that crash runners. */
const crashingPauseMilliseconds = 150;
const requestsPerSession = 5;

/** Kinds of requests, named as in the paths of the site's routes. */
export type RequestKind = "booking" | "call" | "stream";

/** What a caller observed of one request. */
export interface ObservedRequest {
    readonly id: string;
    /** Address of the node that it was sent to. */
    readonly address: string;
    readonly kind: RequestKind;
    readonly key: string;
    readonly sentAt: number;
    /** Undefined when the connection broke before the answer started. */
    readonly status: number | undefined;
    readonly isSealed: boolean;
    readonly body: string;
    /** Whether the answer was complete. */
    readonly isComplete: boolean;
}

/** Sends requests until `stop` is called. */
export class SoakCallers {
    readonly observed: ObservedRequest[] = [];
    readonly #agent = new Agent({ connect: { timeout: 500 }, headersTimeout: 5_000, bodyTimeout: 5_000 });
    readonly #random: RandomSource;
    readonly #addresses: readonly string[];
    readonly #getKey: () => string;
    readonly #hasPrompts: boolean;
    readonly #running: Promise<void>[] = [];
    #count = 0;
    #isStopped = false;

    /**
     * @param random - Chooses the node of each request.
     * @param addresses - Addresses of the nodes.
     * @param getKey - Returns the key of the next request.
     * @param hasPrompts - Whether streams have prompts, and some of them a part that crashes runners.
     */
    constructor(
        random: RandomSource,
        addresses: readonly string[],
        getKey: () => string,
        hasPrompts = false,
    ) {
        this.#hasPrompts = hasPrompts;
        this.#random = random;
        this.#addresses = addresses;
        this.#getKey = getKey;
    }

    /** Starts to send, with this number of concurrent requests of each kind. */
    start(concurrentRequests: number): void {
        for (const kind of ["booking", "call", "stream"] as const) {
            for (let index = 0; index < concurrentRequests; index += 1) {
                this.#running.push(this.#run(kind));
            }
        }
        if (this.#hasPrompts) {
            this.#running.push(this.#runCrashing());
        }
    }

    /** Stops sending. Resolves when the requests in flight have ended. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.#running);
        await this.#agent.destroy();
    }

    /** Sends one request to a node. */
    async send(
        kind: RequestKind,
        address: string,
        key: string,
        isCrashing = false,
    ): Promise<ObservedRequest> {
        this.#count += 1;
        const prompt = kind === "stream" && this.#hasPrompts
            ? createPromptHeaders(createPromptParts(this.#count, isCrashing))
            : {};
        const id = `${kind}-${this.#count}`;
        const sent = { id, address, kind, key, sentAt: performance.now() };
        let status: number | undefined;
        let isSealed = false;
        const pieces: Buffer[] = [];
        let isComplete = false;
        try {
            const response = await sendRequest(`http://${address}:${callerPort}/${kind}/1`, {
                dispatcher: this.#agent,
                method: "POST",
                headers: {
                    "host": "app.example",
                    "attempt-id": id,
                    "deadline-ms": String(deadlineMilliseconds),
                    "api-key": key,
                    "session": `s-${Math.floor(this.#count / requestsPerSession)}`,
                    ...prompt,
                },
                body: "hello",
            });
            status = response.statusCode;
            isSealed = response.headers["server-seal"] !== undefined;
            for await (const piece of response.body as AsyncIterable<Buffer>) {
                pieces.push(piece);
            }
            isComplete = true;
        }
        catch {
            // The connection broke, or the node was unreachable. The part observed so far is recorded.
        }
        const observed = { ...sent, status, isSealed, body: Buffer.concat(pieces).toString(), isComplete };
        this.observed.push(observed);
        return observed;
    }

    async #runCrashing(): Promise<void> {
        while (!this.#isStopped) {
            const address = this.#addresses[this.#random.nextInteger(this.#addresses.length)];
            await this.send("stream", address, this.#getKey(), true);
            await new Promise(resolve => setTimeout(resolve, crashingPauseMilliseconds));
        }
    }

    async #run(kind: RequestKind): Promise<void> {
        while (!this.#isStopped) {
            const address = this.#addresses[this.#random.nextInteger(this.#addresses.length)];
            await this.send(kind, address, this.#getKey());
            await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
        }
    }
}
