/**
 * The certificate files of an entry, read at the start and again when they change.
 */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import { RepeatedTask } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { PeerCredentials } from "../membership/index.js";
import type { EntrySettings } from "../settings/index.js";

/** Pause between two looks at the files, in milliseconds. */
const lookPauseMilliseconds = 2000;

/** What the watch works with. */
export interface CredentialFilesOptions {
    readonly settings: EntrySettings;
    readonly journal: Journal;
    /** Takes renewed credentials. */
    readonly onChange: (credentials: PeerCredentials) => void;
}

/** Watches the certificate files, so that a renewal needs no restart. */
export class CredentialFiles {
    readonly #options: CredentialFilesOptions;
    readonly #task: RepeatedTask;
    #known: PeerCredentials | undefined;
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
        let found: PeerCredentials | undefined;
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
 * Reads the certificates that the settings name, or returns `undefined` when they name none.
 * @param settings - The entry's settings.
 */
export function readCredentials(settings: EntrySettings): PeerCredentials | undefined {
    const { certificate, key, authority, serverName } = settings.tls;
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
function checkFit(credentials: PeerCredentials | undefined): void {
    if (credentials !== undefined) {
        const { certificate: cert, key, authority: ca } = credentials;
        createSecureContext({ cert, key, ca });
    }
}

function isSame(left: PeerCredentials, right: PeerCredentials): boolean {
    return left.certificate.equals(right.certificate)
        && left.key.equals(right.key)
        && left.authority.equals(right.authority);
}
