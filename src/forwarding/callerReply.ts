/**
 * Interface through which a request is answered.
 */
import type { Refusal } from "../common/index.js";

/** How an answer that follows in pieces ends. */
export interface ReplyEnd {
    /** Whether the upstream states the end of its answer. Without that, the answer ends with its connection there. */
    readonly hasStatedEnd: boolean;
    /**
     * Bytes after which the body is certainly incomplete. An answer to a caller that reads no framing ends with them if it is broken off,
     * as that caller may not see that the connection was reset.
     */
    readonly incompleteEnd?: Buffer | undefined;
}

/** Sends the answer to the caller of one request. */
export interface CallerReply {
    /** Whether any byte of an answer may have reached the caller. */
    readonly hasStarted: boolean;
    /** Whether the upstream whose answer was started states its end. The framing towards the caller does not depend on it. */
    readonly hasStatedEnd: boolean;
    /** Aborted when the caller disconnects. */
    readonly disconnected: AbortSignal;
    /**
     * Makes sure that `disconnected` is up to date. A node that was paused or overloaded has read the request, but perhaps not that its
     * caller closed the connection long ago.
     * @returns Undefined when there is nothing to wait for.
     */
    confirmCaller(): Promise<void> | undefined;
    /**
     * Starts an answer whose body follows in pieces. Its framing is this node's own, and stays open if the node is killed or breaks the
     * answer off.
     */
    start(status: number, headers: readonly string[], end?: ReplyEnd): void;
    /**
     * Writes a piece of the body. Resolves at once unless more waits for the caller than its bound allows; if that lasts, the caller
     * is given up, which aborts `disconnected`.
     */
    write(piece: Buffer): Promise<void>;
    /** Ends an answer that was started, which claims that it is complete. */
    end(): void;
    /** Sends a complete answer. */
    answer(status: number, headers: readonly string[], body: Buffer): void;
    /** Sends a refusal by the router itself. */
    refuse(refusal: Refusal): void;
    /**
     * Breaks the connection of an answer that cannot be completed, so that it does not look complete to the caller.
     * @param reason - Why it cannot be completed, for log lines.
     */
    abort(reason: string): void;
}
