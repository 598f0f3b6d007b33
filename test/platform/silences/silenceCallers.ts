/** Callers of a fleet whose runners fall silent. They keep connections open and record what they observe. */
import { Agent, request as sendRequest } from "undici";
import type { RandomSource } from "../../../src/common/index.js";
import { createEvent } from "../standins/slottedRunner.js";
import { tagEvents } from "./silentSite.js";

const callerPort = 7_001;
/** Time for which a caller waits longer than it states. */
const patienceMilliseconds = 1_000;
const minEvents = 10;
const maxEvents = 80;
const callers = 4;
const callPauseMilliseconds = 100;
const streamPauseMilliseconds = 20;
const strangerPauseMilliseconds = 300;
const successStatus = 200;
const tokensPerPart = 300;
const sharedParts = ["b0", "b1", "b2", "b3"];

/** A kind of request, named as in the paths of the site's routes. */
type RequestKind = "booking" | "call" | "stream" | "tag" | "stranger";

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
    /** Whether streams leave the choice of the model to the nodes. */
    readonly hasModels: boolean;
    /** Time for which a caller waits, as it states it. */
    readonly deadlineMilliseconds: number;
}

/** Numbers of requests of some kinds that are open at once. */
export interface OpenRequests {
    readonly streams: number;
    /** Short streams. */
    readonly tags: number;
    /** Requests for paths and with keys that no configuration has. */
    readonly strangers: number;
}

/** Sends requests until it is stopped. */
export class SilenceCallers {
    readonly observed: ObservedAnswer[] = [];
    readonly #options: SilenceCallersOptions;
    readonly #leaveMilliseconds: number;
    readonly #agent: Agent;
    readonly #running: Promise<void>[] = [];
    #count = 0;
    #isStopped = false;

    constructor(options: SilenceCallersOptions) {
        this.#options = options;
        this.#leaveMilliseconds = options.deadlineMilliseconds + patienceMilliseconds;
        this.#agent = new Agent({ headersTimeout: this.#leaveMilliseconds, bodyTimeout: this.#leaveMilliseconds });
    }

    /** Starts to send. */
    start({ streams, tags, strangers }: OpenRequests): void {
        this.#startKind("stream", streams, streamPauseMilliseconds);
        this.#startKind("tag", tags, streamPauseMilliseconds);
        this.#startKind("call", callers, callPauseMilliseconds);
        this.#startKind("booking", callers, callPauseMilliseconds);
        this.#startKind("stranger", strangers, strangerPauseMilliseconds);
    }

    /** Stops sending. Resolves when the requests in flight have ended. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        await Promise.all(this.#running);
        await this.#agent.destroy();
    }

    #startKind(kind: RequestKind, count: number, pauseMilliseconds: number): void {
        for (let index = 0; index < count; index += 1) {
            this.#running.push(this.#run(kind, pauseMilliseconds));
        }
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
        const events = kind === "tag" ? tagEvents : minEvents + random.nextInteger(maxEvents - minEvents + 1);
        const isStream = kind === "stream" || kind === "tag";
        const place = this.#hasUnknownKey(kind) ? "call" : kind;
        const path = isStream ? `/${kind}/${events}/${this.#count}` : `/${place}/${this.#count}`;
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
                signal: AbortSignal.timeout(this.#leaveMilliseconds),
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
        const expected = isStream ? createEvents(events) : "done";
        const isWhole = reason === undefined && (status !== successStatus || body === expected);
        this.observed.push({ id, address, path, sentAt, endedAt: performance.now(), status, body, isWhole, reason });
    }

    /** Every other stranger has an unknown key; the others ask for an unknown path. */
    #hasUnknownKey(kind: RequestKind): boolean {
        return kind === "stranger" && this.#count % 2 === 0;
    }

    #createHeaders(id: string, kind: RequestKind): Readonly<Record<string, string>> {
        const { hasPrompts, hasModels, deadlineMilliseconds } = this.#options;
        const headers = {
            "host": "app.example",
            "attempt-id": id,
            "deadline-ms": String(deadlineMilliseconds),
            "api-key": this.#hasUnknownKey(kind) ? "unknown" : "key",
        };
        if ((kind !== "stream" && kind !== "tag") || (!hasPrompts && !hasModels)) {
            return headers;
        }
        const parts = ["f1", sharedParts[this.#count % sharedParts.length], `c${this.#count}`];
        return {
            ...headers,
            "model": hasModels ? "*" : "m",
            "token-count": `${parts.length * tokensPerPart},${maxEvents}`,
            "prompt-prefix": parts.map(part => `${part}:${tokensPerPart}`).join(","),
        };
    }
}

/** Returns the events of a whole stream. */
function createEvents(count: number): string {
    return Array.from({ length: count }, (...[, index]) => createEvent(index + 1)).join("");
}
