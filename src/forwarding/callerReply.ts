/**
 * What a caller is answered through.
 */
import type { Refusal } from "../common/index.js";

/** The caller's side of one request. */
export interface CallerReply {
    /** Whether a byte of an answer may have reached the caller. */
    readonly hasStarted: boolean;
    /** Is aborted when the caller left. */
    readonly disconnected: AbortSignal;
    /**
     * Begins an answer whose body follows piece by piece.
     * @param options - Without a known end, the answer ends with its connection and does not claim to be whole.
     */
    start(status: number, headers: readonly string[], options?: { readonly hasKnownEnd: boolean; }): void;
    /** Writes a piece. Resolves at once unless the caller reads more slowly than it is written. */
    write(piece: Buffer): Promise<void>;
    /** Ends an answer that was begun. */
    end(): void;
    /** Gives a whole answer. */
    answer(status: number, headers: readonly string[], body: Buffer): void;
    /** Gives an answer of the router's own. */
    refuse(refusal: Refusal): void;
    /** Breaks off an answer that can't be completed, so that it does not look complete. */
    abort(): void;
}
