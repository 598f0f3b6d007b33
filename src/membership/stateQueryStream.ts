/**
 * Queries and answers on one open call to a peer.
 *
 * A node that follows the state of a peer sends several queries a second for its whole life. A separate call for each
 * query costs 2 to 3 ms of processor time on both sides together, mostly for the call objects of the library. On a call
 * that stays open, a query costs only its message.
 */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { Failure, ReadTimeout } from "../common/index.js";
import type { FetchStateReply, FetchStateRequest, FollowStateReply, FollowStateRequest } from "../generated/peer.js";

type Call = ClientDuplexStream<FollowStateRequest, FollowStateReply>;

type ResolveCallback = (result: Result<FetchStateReply, Failure>) => void;

/** Sends queries to one peer. */
export class StateQueryStream {
    readonly #open: () => Call;
    readonly #onTimeout: () => void;
    readonly #pending = new Map<number, ResolveCallback>();
    #call: Call | undefined;
    #lastId = 0;

    /**
     * @param options - `open` opens the call; `onTimeout` is called when an answer is overdue.
     */
    constructor(options: { readonly open: () => Call; readonly onTimeout: () => void; }) {
        this.#open = options.open;
        this.#onTimeout = options.onTimeout;
    }

    /**
     * Sends a query.
     * @param request - The query.
     * @param timeoutMilliseconds - Timeout of the answer.
     */
    query(request: FetchStateRequest, timeoutMilliseconds: number): Promise<Result<FetchStateReply, Failure>> {
        const call = this.#call ??= this.#startCall();
        this.#lastId += 1;
        const id = this.#lastId;
        return new Promise(resolve => {
            const timeout = new ReadTimeout(timeoutMilliseconds, () => {
                resolveQuery(err(createFailure(`no answer within ${timeoutMilliseconds} ms`)));
                this.close("an answer is overdue");
                this.#onTimeout();
            });
            const resolveQuery: ResolveCallback = result => {
                timeout.clear();
                this.#pending.delete(id);
                resolve(result);
            };
            this.#pending.set(id, resolveQuery);
            call.write({ id, question: request });
        });
    }

    /**
     * Ends the call. Queries in flight fail.
     * @param reason - Reason for their failures.
     */
    close(reason: string): void {
        const call = this.#call;
        this.#call = undefined;
        call?.cancel();
        for (const resolveQuery of [...this.#pending.values()]) {
            resolveQuery(err(createFailure(reason)));
        }
    }

    #startCall(): Call {
        const call = this.#open();
        call.on("data", ({ id, answer }: FollowStateReply) => {
            const result = answer === undefined
                ? err(createFailure("the peer could not answer the query"))
                : ok(answer);
            this.#pending.get(id)?.(result);
        });
        const handleEnd = (reason: string): void => {
            // A cancelled call also reports its end, which must not close the call after it.
            if (this.#call === call) {
                this.close(reason);
            }
        };
        call.on("error", error => handleEnd(error.message));
        call.on("end", () => handleEnd("the peer ended the call"));
        return call;
    }
}

function createFailure(reason: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `A peer did not answer: ${reason}.`,
        remedy: "Query another peer, or read the log.",
    });
}
