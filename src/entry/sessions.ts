/**
 * Pins sessions to their versions, by the token that the caller sends back or else by the pin in the log.
 */
import type { Result } from "neverthrow";
import { createSessionToken, readSessionToken, type SessionPins } from "../claims/index.js";
import type { Clock, Failure } from "../common/index.js";
import type { ChatCall } from "./chatCall.js";

/**
 * Lifetime of a session token; each answer renews it. It must be well below the time for which a pin stays in the log.
 * Otherwise a token could outlive its pin, and the session could be pinned to another version elsewhere.
 */
const tokenLifetimeMilliseconds = 12 * 3600 * 1000;

/** Options of the sessions. */
export interface SessionsOptions {
    readonly pins: SessionPins;
    readonly clock: Clock;
    readonly signingKey: string;
    /** A key that is still accepted while the site changes to a new one. */
    readonly previousSigningKey: string | undefined;
}

/** Looks up, pins and signs the versions of sessions. */
export class Sessions {
    readonly #options: SessionsOptions;

    constructor(options: SessionsOptions) {
        this.#options = options;
    }

    /**
     * Returns the version in a call's session token, or `undefined` if the call has no token that is valid for it.
     * @param call - The call.
     */
    readVersion(call: ChatCall): string | undefined {
        if (call.sessionToken === undefined) {
            return undefined;
        }
        const { signingKey, previousSigningKey, clock } = this.#options;
        const signingKeys = previousSigningKey === undefined ? [signingKey] : [signingKey, previousSigningKey];
        const token = readSessionToken(call.sessionToken, signingKeys, clock.wall());
        if (token?.workspace !== call.workspace || token.session !== call.session) {
            return undefined;
        }
        return token.version;
    }

    /**
     * Returns the version of a call's session. Pins the session to the proposal if it has no version yet.
     * @param call - The call.
     * @param session - The session.
     * @param proposal - The version to pin.
     */
    pin(call: ChatCall, session: string, proposal: string): Promise<Result<string, Failure>> {
        const { workspace, requestId } = call;
        return this.#options.pins.pin({ workspace, session, proposal, requestId });
    }

    /**
     * Creates the session token for a call's answer, or returns `undefined` for a call without a sticky session.
     * @param call - The call.
     * @param version - The session's version.
     */
    createToken(call: ChatCall, version: string): string | undefined {
        if (call.session === undefined || !call.settings.stickySession) {
            return undefined;
        }
        const expiresAt = this.#options.clock.wall() + tokenLifetimeMilliseconds;
        const { workspace, session } = call;
        return createSessionToken({ workspace, session, version, expiresAt }, this.#options.signingKey);
    }
}
