/**
 * Keeps sessions on their versions: by the token that the caller sends back, or else by the pin in the log.
 */
import type { Result } from "neverthrow";
import { createSessionToken, readSessionToken, type SessionPins } from "../claims/index.js";
import type { Clock, Failure } from "../common/index.js";
import type { ChatCall } from "./chatCall.js";

/**
 * How long a token is good for; it is renewed with every answer. It must be well below the time for which a pin stays
 * in the log, or a token could outlive its pin, and the session be pinned anew to another version elsewhere.
 */
const tokenLifetimeMilliseconds = 12 * 3600 * 1000;

/** What sessions are kept with. */
export interface SessionsOptions {
    readonly pins: SessionPins;
    readonly clock: Clock;
    readonly signingKey: string;
    /** A key that still counts while the site changes to a new one. */
    readonly previousSigningKey: string | undefined;
}

/** Knows the versions of sessions. */
export class Sessions {
    readonly #options: SessionsOptions;

    constructor(options: SessionsOptions) {
        this.#options = options;
    }

    /**
     * Returns the version that a call's token names, or `undefined` without a token that is good for the call.
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
     * Returns the version of a call's session, pinned to the proposal if it has none yet.
     * @param call - The call.
     * @param session - The session.
     * @param proposal - The version to pin.
     */
    pin(call: ChatCall, session: string, proposal: string): Promise<Result<string, Failure>> {
        const { workspace, requestId } = call;
        return this.#options.pins.pin({ workspace, session, proposal, requestId });
    }

    /**
     * Creates the token for a call's answer, or returns `undefined` for a call without a session.
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
