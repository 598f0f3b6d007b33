/**
 * Simulates a runner that ends under certain prompts and comes back after some time, in different ways.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { finished } from "node:stream/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { createSeal } from "../standins/runnerStandin.js";

const healthPath = "/healthz";
const reportPath = "/v1/report";
const firstEventMilliseconds = 50;
const eventMilliseconds = 45;
const events = 20;
const slots = 64;
/** Confidence with which no larger model is asked. */
const confidence = 95;

/**
 * When a runner ends under a prompt.
 * - `before-head`: before any byte of its answer.
 * - `after-event`: after its first event.
 * - `late`: some time after its first event.
 */
export type EndMoment = "before-head" | "after-event" | "late";

/**
 * What becomes of a runner's connections while it is down.
 * - `refusing`: they are reset, and new ones are refused.
 * - `resetting`: they are reset, and new ones are accepted and reset, as by a listener that outlives the runner.
 * - `dark`: they hang, and so do new ones.
 */
export type DownState = "refusing" | "resetting" | "dark";

const endMilliseconds: Readonly<Record<EndMoment, number>> = { "before-head": 0, "after-event": 50, "late": 700 };

/** A request as its runner received it. */
export interface RunnerArrival {
    readonly at: number;
    readonly request: string;
    readonly isCrashing: boolean;
}

/** Options of a runner. */
export interface EndingRunnerOptions {
    readonly isCrashing: (headers: IncomingMessage["headers"]) => boolean;
    readonly end: EndMoment;
    readonly down: DownState;
    readonly downMilliseconds: number;
    /** Called with each request for an answer that reaches the runner while it is up. */
    readonly onArrival: (arrival: RunnerArrival) => void;
    /** Called when the runner ends, and with its start, in Unix milliseconds, when it is back. */
    readonly onEnd: (request: string | undefined) => void;
    readonly onBack: (startedAt: number) => void;
}

/** A runner that serves streams of events over HTTP. */
export class EndingRunner {
    readonly #options: EndingRunnerOptions;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    #address: { readonly host: string; readonly port: number; } | undefined;
    #startedAt = Date.now();
    /** Number of the runner's life. What an earlier one has begun ends with it. */
    #life = 0;
    #isDown = false;
    #silentUntil = 0;
    #return: NodeJS.Timeout | undefined;

    constructor(options: EndingRunnerOptions) {
        this.#options = options;
        this.#server = createServer((request, response) => void this.#answer(request, response));
        this.#server.on("connection", socket => this.#accept(socket));
    }

    get startedAt(): number {
        return this.#startedAt;
    }

    /** Starts to listen. */
    listen(host: string, port: number): Promise<void> {
        this.#address = { host, port };
        return new Promise(resolve => this.#server.listen(port, host, resolve));
    }

    /** Ends the runner, unless it is down already. It comes back after a time. */
    end(request?: string, { down, downMilliseconds }: Partial<EndingRunnerOptions> = {}): void {
        if (this.#isDown) {
            return;
        }
        const state = down ?? this.#options.down;
        this.#isDown = true;
        this.#life += 1;
        this.#options.onEnd(request);
        if (state === "refusing") {
            this.#server.close();
        }
        if (state !== "dark") {
            this.#resetAll();
        }
        this.#return = setTimeout(() => void this.#comeBack(state), downMilliseconds ?? this.#options.downMilliseconds);
    }

    /** Sends nothing for a time, and goes on. */
    silence(milliseconds: number): void {
        this.#silentUntil = Date.now() + milliseconds;
    }

    /** Resets all connections, as a network does that fails. New ones are accepted. */
    resetConnections(): void {
        this.#resetAll();
    }

    /** Stops for good. */
    close(): void {
        clearTimeout(this.#return);
        this.#server.close();
        this.#resetAll();
    }

    async #comeBack(state: DownState): Promise<void> {
        this.#resetAll();
        if (state === "refusing" && this.#address !== undefined) {
            await this.listen(this.#address.host, this.#address.port);
        }
        this.#isDown = false;
        this.#startedAt = Date.now();
        this.#options.onBack(this.#startedAt);
    }

    #resetAll(): void {
        for (const socket of this.#sockets) {
            socket.resetAndDestroy();
        }
    }

    #accept(socket: Socket): void {
        if (this.#isDown && this.#options.down === "resetting") {
            socket.resetAndDestroy();
            return;
        }
        this.#sockets.add(socket);
        socket.on("close", () => this.#sockets.delete(socket));
        socket.on("error", () => {
            // A node has reset the connection.
        });
    }

    async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (!await isReceived(request)) {
            return;
        }
        await this.#waitForSilence();
        if (this.#isDown) {
            return;
        }
        if (request.url === healthPath || request.url === reportPath) {
            const headers = { "Attempt-Id": String(request.headers["attempt-id"]), "Content-Type": "application/json" };
            response.writeHead(200, headers).end(JSON.stringify({ born: this.#startedAt }));
            return;
        }
        const id = String(request.headers["attempt-id"]);
        const isCrashing = this.#options.isCrashing(request.headers);
        this.#options.onArrival({ at: Date.now(), request: id, isCrashing });
        await this.#answerStream(request, response, isCrashing ? id : undefined);
    }

    /** Sends the events of a stream. Ends under a request that crashes the runner. */
    async #answerStream(request: IncomingMessage, response: ServerResponse, crashing?: string): Promise<void> {
        const life = this.#life;
        const { end } = this.#options;
        const isOver = (): boolean => life !== this.#life || response.destroyed;
        await sleep(firstEventMilliseconds);
        if (crashing !== undefined && end === "before-head") {
            this.#endUnder(crashing, life);
        }
        if (isOver()) {
            return;
        }
        const seal = createSeal({ method: "POST", target: "", body: "", headers: request.headers });
        response.writeHead(200, {
            ...seal,
            "Content-Type": "text/event-stream",
            "Confidence": String(confidence),
            "Server-Load": `${this.#sockets.size},0,${slots}`,
        });
        if (crashing !== undefined) {
            setTimeout(() => this.#endUnder(crashing, life), endMilliseconds[end]).unref();
        }
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id <= events && !isOver(); id += 1) {
            await this.#waitForSilence();
            response.write(`id: ${id}\ndata: piece\n\n`);
            await sleep(eventMilliseconds);
        }
        if (!isOver()) {
            response.end();
        }
    }

    async #waitForSilence(): Promise<void> {
        while (Date.now() < this.#silentUntil) {
            await sleep(this.#silentUntil - Date.now());
        }
    }

    #endUnder(request: string, life: number): void {
        if (life === this.#life) {
            this.end(request);
        }
    }
}

/** Reads a request to its end, whose content is of no account. Returns whether all of it arrived. */
async function isReceived(request: IncomingMessage): Promise<boolean> {
    try {
        await finished(request.resume());
        return true;
    }
    catch {
        // The node has ended, or has given the request up, before all of it was sent.
        return false;
    }
}
