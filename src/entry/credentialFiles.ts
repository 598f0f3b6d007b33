/**
 * Reads an entry's certificate files at startup and again when they change.
 */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { type Credentials, RepeatedTask } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { TlsSettings } from "../settings/index.js";

/** Pause between two checks of the files, in milliseconds. */
const pollIntervalMilliseconds = 2000;

/** Options of watched certificate files. */
export interface CredentialFilesOptions {
    /** The settings section that names the files. */
    readonly settings: TlsSettings;
    readonly journal: Journal;
    /** Called with renewed credentials. */
    readonly onChange: (credentials: Credentials) => void;
}

/** Watches the certificate files, so that a renewal needs no restart. */
export class CredentialFiles {
    readonly #options: CredentialFilesOptions;
    readonly #task: RepeatedTask;
    #current: Credentials | undefined;
    #isUnreadable = false;

    constructor(options: CredentialFilesOptions) {
        this.#options = options;
        this.#current = readCredentials(options.settings);
        this.#task = new RepeatedTask({ run: () => this.#poll(), pauseMilliseconds: pollIntervalMilliseconds });
    }

    /** Starts to watch the files, if the settings name certificates. */
    start(): void {
        if (this.#current !== undefined) {
            this.#task.start();
        }
    }

    /** Stops watching. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Reads the files again. A renewal may be in progress: if the files cannot be read or do not match, the old
     * credentials stay in use.
     */
    #poll(): void {
        let loaded: Credentials | undefined;
        try {
            loaded = readCredentials(this.#options.settings);
            assertKeyMatchesCertificate(loaded);
        }
        catch (error) {
            this.#reportUnreadable(error);
            return;
        }
        this.#isUnreadable = false;
        if (loaded === undefined || this.#current === undefined || areEqual(loaded, this.#current)) {
            return;
        }
        this.#current = loaded;
        this.#options.onChange(loaded);
        this.#options.journal.write(events.credentialsRenewed);
    }

    #reportUnreadable(error: unknown): void {
        if (!this.#isUnreadable) {
            this.#isUnreadable = true;
            const message = error instanceof Error ? error.message : String(error);
            this.#options.journal.write(events.credentialsUnreadable, { message });
        }
    }
}

/**
 * Reads the certificates that a settings section names, or returns `undefined` if it names none.
 * @param settings - The section.
 */
export function readCredentials(settings: TlsSettings): Credentials | undefined {
    const { certificate, key, authority, serverName } = settings;
    if (certificate === undefined || key === undefined || authority === undefined) {
        return undefined;
    }
    return {
        certificate: readFileSync(certificate),
        key: readFileSync(key),
        authority: readFileSync(authority),
        serverName,
    };
}

/** Throws if a certificate and its key do not match, as in the middle of a renewal. */
function assertKeyMatchesCertificate(credentials: Credentials | undefined): void {
    if (credentials !== undefined) {
        const { certificate: cert, key, authority: ca } = credentials;
        createSecureContext({ cert, key, ca });
    }
}

function areEqual(left: Credentials, right: Credentials): boolean {
    return left.certificate.equals(right.certificate)
        && left.key.equals(right.key)
        && left.authority.equals(right.authority);
}
