/**
 * The connections of this node to one upstream, and the requests that wait for one of them.
 */
import { buildConnector, type Dispatcher, type Pool } from "undici";
import { createAnswerPool, type EndlessBytesListener, halfOpen, watchConnections } from "../connections/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import { isOwnAnswer } from "./ownAnswer.js";
import { observeSending } from "./sendingObserver.js";

/** Connecting takes a millisecond or two. A machine that is down or partitioned does not respond at all. */
const connectTimeoutMilliseconds = 400;
/**
 * Connections are closed this long before the upstream's keep-alive timeout. A request that is sent while the
 * upstream closes the connection is lost.
 */
const keepAliveMarginMilliseconds = 1_000;
/** Keep-alive timeout for upstreams that announce none. */
const defaultKeepAliveMilliseconds = 4_000;
const maxKeepAliveMilliseconds = 15_000;

/** Options of `UpstreamConnections`. */
export interface UpstreamConnectionsOptions {
    readonly upstream: RegisteredUpstream;
    /**
     * Returns the maximum number of connections, which changes with the configuration and the number of nodes. A lower one holds at
     * once, a higher one for connections that are opened anew.
     */
    readonly getLimit: () => number;
    /** Called when a connection could not be opened. */
    readonly onConnectFailure: () => void;
    /** Called when a connection was closed since its bytes had no end. */
    readonly onEndless: EndlessBytesListener;
    /** Called with these connections when a request begins to wait for one of them. */
    readonly onWait: (connections: UpstreamConnections) => void;
}

/**
 * Holds the connections to one upstream. Requests wait here and not in the HTTP library, where they could neither be withdrawn nor
 * cancelled before a connection is free.
 */
export class UpstreamConnections {
    readonly upstream: RegisteredUpstream;
    readonly dispatcher: Pool;
    readonly #getLimit: () => number;
    /** Connections that the HTTP library opens at most. */
    readonly #maxConnections: number;
    readonly #onWait: (connections: UpstreamConnections) => void;
    /** Functions that let the waiting requests go on, in the order of their arrival. */
    readonly #waiting = new Set<() => void>();
    #isClosed = false;

    constructor({ upstream, getLimit, onConnectFailure, onEndless, onWait }: UpstreamConnectionsOptions) {
        this.upstream = upstream;
        this.#getLimit = getLimit;
        this.#maxConnections = getLimit();
        this.#onWait = onWait;
        this.dispatcher = createAnswerPool(`http://${upstream.address}`, {
            connections: this.#maxConnections,
            pipelining: 1,
            connect: createConnector(onConnectFailure, onEndless),
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: defaultKeepAliveMilliseconds,
            keepAliveMaxTimeout: maxKeepAliveMilliseconds,
            keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
        }, ({ headers }, head) => isOwnAnswer({ headers: headers as readonly string[] }, head));
        this.dispatcher.on("drain", () => this.#wakeNext());
        this.dispatcher.on("disconnect", () => this.#wakeNext());
        this.dispatcher.on("connectionError", () => this.#wakeNext());
    }

    /** Returns whether one more request would be sent at once. */
    hasRoom(): boolean {
        return !this.#isClosed && this.dispatcher.stats.size < Math.min(this.#maxConnections, this.#getLimit());
    }

    /** Returns whether requests wait for a connection. */
    hasWaiting(): boolean {
        return this.#waiting.size > 0;
    }

    /**
     * Sends a request if there is room, after those that arrived before it. Nothing that was sent is ever sent again.
     * @param send - Sends the request.
     * @param options - `onSent` is called when it is written to a connection. `signal` ends the wait; `confirmCaller` brings it up to
     * date after the wait, and `mayStillSend` tells whether the request may still be sent.
     * @returns Undefined when the request was not sent.
     */
    async send<T>(
        send: (dispatcher: Dispatcher) => Promise<T>,
        options: {
            readonly onSent: (() => void) | undefined;
            readonly signal: AbortSignal;
            readonly confirmCaller: () => Promise<void> | undefined;
            readonly mayStillSend: () => boolean;
        },
    ): Promise<T | undefined> {
        const { onSent, signal, confirmCaller, mayStillSend } = options;
        const maySend = (): boolean => !this.#isClosed && !signal.aborted && mayStillSend();
        let isNext = this.#waiting.size === 0;
        while (maySend() && !(isNext && this.hasRoom())) {
            await this.#wait(signal);
            if (!signal.aborted) {
                await confirmCaller();
            }
            isNext = true;
        }
        if (!maySend()) {
            this.#wakeNext();
            return undefined;
        }
        // The library tells that a connection is free only if none was. It uses one again a cycle of the event loop after its answer.
        const onEnd = (): void => void setImmediate(() => setImmediate(() => this.#wakeNext()));
        const pending = send(observeSending(this.dispatcher, { onSent, onEnd }));
        this.#wakeNext();
        return pending;
    }

    /** Lets all waiting requests go on. Those that may not be sent any more find that out. */
    wakeAll(): void {
        for (const wake of this.#waiting) {
            wake();
        }
    }

    /** Closes idle connections now and the others when their answers end. */
    close(): void {
        this.#isClosed = true;
        this.dispatcher.close().catch(() => {
            // Nothing waits for discarded connections.
        });
        this.wakeAll();
    }

    /** Closes all connections now. */
    async destroy(): Promise<void> {
        this.#isClosed = true;
        this.wakeAll();
        await this.dispatcher.destroy();
    }

    #wakeNext(): void {
        const [wake] = this.#waiting;
        if (wake !== undefined && this.hasRoom()) {
            wake();
        }
    }

    #wait(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                this.#waiting.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            this.#waiting.add(wake);
            signal.addEventListener("abort", wake);
            this.#onWait(this);
        });
    }
}

/** Creates a connector that watches the connections and reports those that could not be opened. */
function createConnector(onFailure: () => void, onEndless: EndlessBytesListener): buildConnector.connector {
    const connect = watchConnections(
        buildConnector({ ...halfOpen, timeout: connectTimeoutMilliseconds }),
        onEndless,
    );
    return (options, callback) => {
        connect(options, (...result) => {
            const [error] = result;
            if (error) {
                onFailure();
            }
            callback(...result);
        });
    };
}
