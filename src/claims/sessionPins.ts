/**
 * Pins sessions to versions: the first pin of a session in the order of the log is valid for all entries.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";
import type { ClaimClient } from "./claimClient.js";
import { createPinKey } from "./claimOperation.js";

/** A request to pin a session. */
export interface PinRequest {
    readonly workspace: string;
    readonly session: string;
    /** The version to pin if the session has none yet. */
    readonly proposal: string;
    readonly requestId: string;
}

/** Determines the versions of sessions. */
export class SessionPins {
    readonly #claims: Pick<ClaimClient, "claim">;

    constructor(claims: Pick<ClaimClient, "claim">) {
        this.#claims = claims;
    }

    /**
     * Returns the version of a session, and pins it to the proposal if it has none yet.
     *
     * Two first requests at two entries may propose different versions. Both entries read the same first record in the
     * log, so they agree, and one of them answers from the version that the other proposed.
     * @param request - The request.
     */
    async pin(request: PinRequest): Promise<Result<string, Failure>> {
        const claimed = await this.#claims.claim({
            key: createPinKey(request.workspace, request.session),
            value: request.proposal,
            requestId: request.requestId,
        });
        return claimed.map(verdict => verdict.value);
    }
}
