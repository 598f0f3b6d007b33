/**
 * Questions and answers over one open call to a peer.
 *
 * A node that follows its peer's state asks several times a second, for as long as it lives. A call of its own for each
 * question costs 2 to 3 ms of processor time on both sides together, most of it for the library's call objects; on a call that
 * stays open a question costs the message alone.
 */
import type { ClientDuplexStream } from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import type { FetchStateReply, FetchStateRequest, FollowStateReply, FollowStateRequest } from "../generated/peer.js";

type Call = ClientDuplexStream<FollowStateRequest, FollowStateReply>;

type ResolveCallback = (result: Result<FetchStateReply, Failure>) => void;

/** Asks one peer. */
export class StateQueryStream {
    readonly #open: () => Call;
    readonly #onTimeout: () => void;
    readonly #pending = new Map<number, ResolveCallback>();
    #call: Call | undefined;
    #lastId = 0;

    /**
     * @param options - `open` opens the call; `onSilence` is told when an answer is overdue.
     */
    constructor(options: { readonly open: () => Call; readonly onTimeout: () => void; }) {
        this.#open = options.open;
        this.#onTimeout = options.onTimeout;
    }

    /**
     * Asks a question.
     * @param request - The question.
     * @param timeoutMilliseconds - How long the answer may take.
     */
    query(request: FetchStateRequest, timeoutMilliseconds: number): Promise<Result<FetchStateReply, Failure>> {
        const call = this.#call ??= this.#startCall();
        this.#lastId += 1;
        const id = this.#lastId;
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                resolveQuery(err(createFailure(`no answer within ${timeoutMilliseconds} ms`)));
                this.close("an answer is overdue");
                this.#onTimeout();
            }, timeoutMilliseconds);
            const resolveQuery: ResolveCallback = result => {
                clearTimeout(timer);
                this.#pending.delete(id);
                resolve(result);
            };
            this.#pending.set(id, resolveQuery);
            call.write({ id, question: request });
        });
    }

    /**
     * Ends the call; questions that wait for answers fail.
     * @param reason - Why, for their failures.
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
            const result = answer === undefined ? err(createFailure("it can't tell")) : ok(answer);
            this.#pending.get(id)?.(result);
        });
        const handleEnd = (reason: string): void => {
            // A call that was given up reports its end too; the one after it must not suffer for that.
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
        remedy: "Ask another peer, or read the log.",
    });
}
