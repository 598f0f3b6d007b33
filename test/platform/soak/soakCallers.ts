/** Callers of a soak test. They send requests to random nodes, keep connections open, and record what they observe. */
import { type Agent, buildConnector, request as sendRequest } from "undici";
import type { RandomSource } from "../../../src/common/index.js";
import { createAnswerAgent, halfOpen, hasStatedEnd, listHeaders } from "../../../src/connections/index.js";
import { createPromptHeaders, createPromptParts } from "./soakCrashes.js";
import { draw, wait } from "./soakRecord.js";
import { createStreamPath, shortStream, type StreamShape } from "./soakRunners.js";

const callerPort = 7_001;
const usualDeadlineMilliseconds = 2_500;
const leaveMilliseconds = 5_000;
/** The time that callers of long streams state to wait, and after which they leave in fact. */
const longDeadlineMilliseconds = 10_000;
const longLeaveMilliseconds = 12_000;
const longStreams = 24;
const minLongEvents = 60;
const maxLongEvents = 120;
const longIntervalMilliseconds = 40;
const connectMilliseconds = 500;
const pauseMilliseconds = 30;
/** One stream in so many is read late, and for how long nothing of it is. */
const lateReaderInterval = 3;
const lateMilliseconds = 250;
/** Pause between two requests that crash runners. */
const crashingPauseMilliseconds = 150;
const requestsPerSession = 5;

/** Codes of failures in which no connection was opened. */
const connectFailures: readonly string[] = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"];

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
    readonly endedAt: number;
    /** The time for which the caller has stated to wait. */
    readonly deadlineMilliseconds: number;
    /** Number of events of a whole answer, for streams. */
    readonly events: number | undefined;
    readonly hasConnected: boolean;
    /** Why the answer is not complete. */
    readonly reason: string | undefined;
    /** Undefined when the connection broke before the answer started. */
    readonly status: number | undefined;
    readonly isSealed: boolean;
    readonly body: string;
    /** Whether nothing tells that the answer was broken off. */
    readonly isComplete: boolean;
    /** Whether the answer had a framing, whose end says that it is complete. */
    readonly isFramed: boolean;
}

/** Options of the callers of a soak test. */
export interface SoakCallersOptions {
    /** Chooses the node of each request. */
    readonly random: RandomSource;
    /** Addresses of the nodes. */
    readonly addresses: readonly string[];
    /** Returns the key of the next request. */
    readonly getKey: () => string;
    /** Whether streams have prompts, and some of them a part that crashes runners. */
    readonly hasPrompts: boolean;
    /** Whether callers of some streams begin late to read. */
    readonly hasLateReaders: boolean;
    /** Whether there are also streams that last for several seconds. */
    readonly hasLongStreams: boolean;
}

/** A request to be sent; omitted fields use defaults. */
export interface SoakRequest {
    readonly kind: RequestKind;
    /** Address of the node. */
    readonly address: string;
    readonly key: string;
    readonly isCrashing?: boolean;
    readonly stream?: StreamShape;
    readonly deadlineMilliseconds?: number;
}

/** Sends requests until `stop` is called. */
export class SoakCallers {
    readonly observed: ObservedRequest[] = [];
    readonly #options: SoakCallersOptions;
    readonly #agent: Agent;
    readonly #running: Promise<void>[] = [];
    #count = 0;
    #isStopped = false;

    constructor(options: SoakCallersOptions) {
        this.#options = options;
        const timeout = options.hasLongStreams ? longLeaveMilliseconds : leaveMilliseconds;
        this.#agent = createAnswerAgent({
            connect: buildConnector({ ...halfOpen, timeout: connectMilliseconds }),
            headersTimeout: timeout,
            bodyTimeout: timeout,
        });
    }

    /** Starts to send, with this number of concurrent requests of each kind. */
    start(concurrentRequests: number): void {
        for (const kind of ["booking", "call", "stream"] as const) {
            for (let index = 0; index < concurrentRequests; index += 1) {
                this.#running.push(this.#run(kind));
            }
        }
        for (let index = 0; this.#options.hasLongStreams && index < longStreams; index += 1) {
            this.#running.push(this.#runLong());
        }
        if (this.#options.hasPrompts) {
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
    async send(request: SoakRequest): Promise<ObservedRequest> {
        const { kind, address, key, stream = shortStream, deadlineMilliseconds = usualDeadlineMilliseconds } = request;
        this.#count += 1;
        const id = `${kind}-${this.#count}`;
        const path = kind === "stream" ? createStreamPath(stream) : `/${kind}/1`;
        const sent = { id, address, kind, key, deadlineMilliseconds, sentAt: performance.now() };
        let status: number | undefined;
        let isSealed = false;
        let isFramed = true;
        let failure: unknown;
        const pieces: Buffer[] = [];
        try {
            const response = await sendRequest(`http://${address}:${callerPort}${path}`, {
                dispatcher: this.#agent,
                method: "POST",
                headers: this.#createHeaders(id, request),
                body: "hello",
            });
            status = response.statusCode;
            isSealed = response.headers["server-seal"] !== undefined;
            isFramed = hasStatedEnd("POST", { status, headers: listHeaders(response.headers) });
            if (this.#options.hasLateReaders && kind === "stream" && this.#count % lateReaderInterval === 0) {
                await wait(lateMilliseconds);
            }
            for await (const piece of response.body as AsyncIterable<Buffer>) {
                pieces.push(piece);
            }
        }
        catch (cause) {
            // The connection broke, or the node was unreachable. The part observed so far is recorded.
            failure = cause;
        }
        const body = Buffer.concat(pieces).toString();
        const isInsideEvent = kind === "stream" && status === 200 && !/(^|\n\n)$/.test(body);
        const observed = {
            ...sent,
            endedAt: performance.now(),
            events: kind === "stream" ? stream.events : undefined,
            status,
            isSealed,
            body,
            isComplete: failure === undefined && (isFramed || !isInsideEvent),
            isFramed,
            hasConnected: !connectFailures.includes((failure as { readonly code?: string; } | undefined)?.code ?? ""),
            reason: failure === undefined ? undefined : String(failure),
        };
        this.observed.push(observed);
        return observed;
    }

    #createHeaders(
        id: string,
        { kind, key, isCrashing = false, deadlineMilliseconds = usualDeadlineMilliseconds }: SoakRequest,
    ): Readonly<Record<string, string>> {
        const prompt = kind === "stream" && this.#options.hasPrompts
            ? createPromptHeaders(createPromptParts(this.#count, isCrashing))
            : {};
        return {
            "host": "app.example",
            "attempt-id": id,
            "deadline-ms": String(deadlineMilliseconds),
            "api-key": key,
            "session": `s-${Math.floor(this.#count / requestsPerSession)}`,
            ...prompt,
        };
    }

    async #runCrashing(): Promise<void> {
        while (!this.#isStopped) {
            await this.send({
                kind: "stream",
                address: this.#drawAddress(),
                key: this.#options.getKey(),
                isCrashing: true,
            });
            await wait(crashingPauseMilliseconds);
        }
    }

    async #runLong(): Promise<void> {
        while (!this.#isStopped) {
            const events = minLongEvents + this.#options.random.nextInteger(maxLongEvents - minLongEvents + 1);
            await this.send({
                kind: "stream",
                address: this.#drawAddress(),
                key: this.#options.getKey(),
                stream: { events, intervalMilliseconds: longIntervalMilliseconds },
                deadlineMilliseconds: longDeadlineMilliseconds,
            });
            await wait(pauseMilliseconds);
        }
    }

    async #run(kind: RequestKind): Promise<void> {
        while (!this.#isStopped) {
            await this.send({ kind, address: this.#drawAddress(), key: this.#options.getKey() });
            await wait(pauseMilliseconds);
        }
    }

    #drawAddress(): string {
        return draw(this.#options.random, this.#options.addresses);
    }
}
