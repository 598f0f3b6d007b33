/**
 * Forwards requests of nodes that cannot reach an upstream.
 */
import type { Dispatcher } from "undici";
import type { RelayPart, RelayRequest } from "../generated/peer.js";
import { classifyTransportError, describeTransportError, type TransportFailureKind } from "../upstream/index.js";

/**
 * Maximum number of requests that this node forwards at a time. A few nodes that still reach their upstreams would otherwise break
 * down under the callers of all others.
 */
const maxCalls = 256;
const stopReason = "the node that forwards requests stops";

/** An upstream to which requests may be forwarded. */
export interface RelayTarget {
    /** `HOST:PORT`. */
    readonly address: string;
    /** Opens connections to the upstream, apart from those of this node's own callers. */
    readonly dispatcher: Pick<Dispatcher, "request">;
    /** Returns whether one more request may be sent, and would be without waiting for another one to end. */
    readonly hasRoom: () => boolean;
    /** Called with each request that is sent. */
    readonly addRequest?: () => void;
    /** Called with the head of an answer, whose headers are alternating names and values. */
    readonly observeHead?: (status: number, headers: readonly string[]) => void;
}

/** Forwards requests to upstreams that this node reaches itself, and never to a third node. */
export class RelayServer {
    readonly #getTarget: (upstream: string) => RelayTarget | undefined;
    readonly #canFinish: () => boolean;
    /** Cancel the requests that are forwarded at the moment. */
    readonly #calls = new Set<AbortController>();
    #hasStopped = false;

    /**
     * @param getTarget - Returns an upstream by its identifier, if this node knows it and may send it requests.
     * @param canFinish - Returns whether a request that begins now is expected to end before this node does.
     */
    constructor(getTarget: (upstream: string) => RelayTarget | undefined, canFinish: () => boolean = () => true) {
        this.#getTarget = getTarget;
        this.#canFinish = canFinish;
    }

    /** Returns the number of requests that this node forwards at the moment. */
    getInFlight(): number {
        return this.#calls.size;
    }

    /** Cancels all requests, tells the nodes that asked, and declines further ones. */
    stop(): void {
        this.#hasStopped = true;
        for (const call of this.#calls) {
            call.abort();
        }
    }

    /**
     * Forwards one request, once.
     * @param request - The request.
     * @param signal - Cancels the request at the upstream.
     * @returns The parts of the answer.
     */
    async *handle(request: RelayRequest, signal: AbortSignal): AsyncGenerator<RelayPart> {
        if (this.#hasStopped || !this.#canFinish()) {
            yield createFailure("not-sent", stopReason);
            return;
        }
        const target = this.#getTarget(request.upstream);
        if (target === undefined || this.#calls.size >= maxCalls) {
            const reason = target === undefined
                ? "the upstream gets no requests here"
                : "too many requests are forwarded";
            yield createFailure("not-sent", reason);
            return;
        }
        if (!target.hasRoom()) {
            yield createFailure("no-room", "the upstream takes no more requests from this node now");
            return;
        }
        const call = new AbortController();
        const cancel = (): void => call.abort();
        signal.addEventListener("abort", cancel, { once: true });
        if (signal.aborted) {
            cancel();
        }
        this.#calls.add(call);
        target.addRequest?.();
        try {
            yield* forward(request, target, call.signal);
        }
        catch (error) {
            const isStopped = call.signal.aborted && !signal.aborted;
            const reason = isStopped ? stopReason : describeTransportError(error);
            yield createFailure(classifyTransportError(error, call.signal), reason);
        }
        finally {
            this.#calls.delete(call);
            signal.removeEventListener("abort", cancel);
        }
    }
}

async function* forward(
    { method, path, headers, body }: RelayRequest,
    target: RelayTarget,
    signal: AbortSignal,
): AsyncGenerator<RelayPart> {
    const response = await target.dispatcher.request({
        origin: `http://${target.address}`,
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body: body.length === 0 ? undefined : body,
        signal,
        responseHeaders: "raw",
        // The node that asked cancels the call at its caller's deadline.
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const raw = response.headers as unknown as readonly string[];
    target.observeHead?.(response.statusCode, raw);
    yield { head: { status: response.statusCode, headers: [...raw] }, isEnd: false };
    for await (const data of response.body as AsyncIterable<Buffer>) {
        yield { data, isEnd: false };
    }
    yield { isEnd: true };
}

function createFailure(kind: TransportFailureKind, reason: string): RelayPart {
    return { failure: { kind, reason }, isEnd: false };
}
