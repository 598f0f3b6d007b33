/**
 * Certificate files of an entry, read at the start and again when they change.
 */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { type Credentials, RepeatedTask } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { TlsSettings } from "../settings/index.js";

/** Pause between two looks at the files, in milliseconds. */
const lookPauseMilliseconds = 2000;

/** What the watch works with. */
export interface CredentialFilesOptions {
    /** The section that names the files. */
    readonly settings: TlsSettings;
    readonly journal: Journal;
    /** Takes renewed credentials. */
    readonly onChange: (credentials: Credentials) => void;
}

/** Watches the certificate files, so that a renewal needs no restart. */
export class CredentialFiles {
    readonly #options: CredentialFilesOptions;
    readonly #task: RepeatedTask;
    #known: Credentials | undefined;
    #isUnreadable = false;

    constructor(options: CredentialFilesOptions) {
        this.#options = options;
        this.#known = readCredentials(options.settings);
        this.#task = new RepeatedTask({ run: () => this.#look(), pauseMilliseconds: lookPauseMilliseconds });
    }

    /** Starts to watch, if the settings name certificates. */
    start(): void {
        if (this.#known !== undefined) {
            this.#task.start();
        }
    }

    /** Stops watching. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /** Whoever renews the files may be in the middle of it: what cannot be read keeps the old credentials in use. */
    #look(): void {
        let found: Credentials | undefined;
        try {
            found = readCredentials(this.#options.settings);
            checkFit(found);
        }
        catch (error) {
            this.#reportUnreadable(error);
            return;
        }
        this.#isUnreadable = false;
        if (found === undefined || this.#known === undefined || isSame(found, this.#known)) {
            return;
        }
        this.#known = found;
        this.#options.onChange(found);
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
 * Reads the certificates that a section names, or returns `undefined` when it names none.
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

/** Throws when a certificate and its key do not belong together, as halfway through a renewal. */
function checkFit(credentials: Credentials | undefined): void {
    if (credentials !== undefined) {
        const { certificate: cert, key, authority: ca } = credentials;
        createSecureContext({ cert, key, ca });
    }
}

function isSame(left: Credentials, right: Credentials): boolean {
    return left.certificate.equals(right.certificate)
        && left.key.equals(right.key)
        && left.authority.equals(right.authority);
}
