/** Callers of a fleet whose runners fall silent. They keep connections open and record what they observe. */
import { Agent, request as sendRequest } from "undici";
import type { RandomSource } from "../../../src/common/index.js";
import { createEvent } from "../standins/slottedRunner.js";

const callerPort = 7_001;
/** Time for which a caller waits, as it states it, and the time after which it leaves in fact. */
const deadlineMilliseconds = 11_000;
const leaveMilliseconds = 12_000;
const minEvents = 10;
const maxEvents = 80;
const callers = 4;
const callPauseMilliseconds = 100;
const streamPauseMilliseconds = 20;
const successStatus = 200;
const tokensPerPart = 300;
const sharedParts = ["b0", "b1", "b2", "b3"];

/** A kind of request, named as in the paths of the site's routes. */
type RequestKind = "booking" | "call" | "stream";

/** What a caller observed of one request. */
export interface ObservedAnswer {
    readonly id: string;
    readonly address: string;
    readonly path: string;
    readonly sentAt: number;
    readonly endedAt: number;
    /** Undefined when the connection ended before an answer began. */
    readonly status: number | undefined;
    readonly body: string;
    /** Whether the answer, or the refusal, was whole. */
    readonly isWhole: boolean;
    /** How the connection ended, if the answer was not whole. */
    readonly reason: string | undefined;
}

/** Options of `SilenceCallers`. */
export interface SilenceCallersOptions {
    readonly random: RandomSource;
    readonly addresses: readonly string[];
    readonly hasPrompts: boolean;
}

/** Sends requests until it is stopped. */
export class SilenceCallers {
    readonly observed: ObservedAnswer[] = [];
    readonly #options: SilenceCallersOptions;
    readonly #agent = new Agent({ headersTimeout: leaveMilliseconds, bodyTimeout: leaveMilliseconds });
    readonly #running: Promise<void>[] = [];
    #count = 0;
    #isStopped = false;

    constructor(options: SilenceCallersOptions) {
        this.#options = options;
    }

    /**
     * Starts to send.
     * @param streams - Number of streams that are open at once.
     */
    start(streams: number): void {
        for (let index = 0; index < streams; index += 1) {
            this.#running.push(this.#run("stream", streamPauseMilliseconds));
        }
        for (let index = 0; index < callers; index += 1) {
            this.#running.push(this.#run("call", callPauseMilliseconds), this.#run("booking", callPauseMilliseconds));
        }
    }

    /** Stops sending. Resolves when the requests in flight have ended. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.#running);
        await this.#agent.destroy();
    }

    async #run(kind: RequestKind, pauseMilliseconds: number): Promise<void> {
        while (!this.#isStopped) {
            await this.#send(kind);
            await new Promise(resolve => setTimeout(resolve, pauseMilliseconds));
        }
    }

    async #send(kind: RequestKind): Promise<void> {
        const { random, addresses } = this.#options;
        this.#count += 1;
        const id = `${kind}-${this.#count}`;
        const address = addresses[random.nextInteger(addresses.length)];
        const events = minEvents + random.nextInteger(maxEvents - minEvents + 1);
        const path = kind === "stream" ? `/stream/${events}/${this.#count}` : `/${kind}/${this.#count}`;
        const sentAt = performance.now();
        const pieces: Buffer[] = [];
        let status: number | undefined;
        let reason: string | undefined;
        try {
            const response = await sendRequest(`http://${address}:${callerPort}${path}`, {
                dispatcher: this.#agent,
                method: "POST",
                headers: this.#createHeaders(id, kind),
                body: "hello",
                signal: AbortSignal.timeout(leaveMilliseconds),
            });
            status = response.statusCode;
            for await (const piece of response.body as AsyncIterable<Buffer>) {
                pieces.push(piece);
            }
        }
        catch (cause) {
            reason = String(cause);
        }
        const body = Buffer.concat(pieces).toString();
        const expected = kind === "stream" ? createEvents(events) : "done";
        const isWhole = reason === undefined && (status !== successStatus || body === expected);
        this.observed.push({ id, address, path, sentAt, endedAt: performance.now(), status, body, isWhole, reason });
    }

    #createHeaders(id: string, kind: RequestKind): Readonly<Record<string, string>> {
        const headers = {
            "host": "app.example",
            "attempt-id": id,
            "deadline-ms": String(deadlineMilliseconds),
            "api-key": "key",
        };
        if (kind !== "stream" || !this.#options.hasPrompts) {
            return headers;
        }
        const parts = ["f1", sharedParts[this.#count % sharedParts.length], `c${this.#count}`];
        return {
            ...headers,
            "model": "m",
            "token-count": `${parts.length * tokensPerPart},${maxEvents}`,
            "prompt-prefix": parts.map(part => `${part}:${tokensPerPart}`).join(","),
        };
    }
}

/** Returns the events of a whole stream. */
function createEvents(count: number): string {
    return Array.from({ length: count }, (...[, index]) => createEvent(index + 1)).join("");
}
