/**
 * Mutual TLS between entries: both sides show a certificate of the site's own authority.
 */
import { experimental, ServerCredentials } from "@grpc/grpc-js";
import type { Credentials } from "../common/index.js";

/** Hands credentials to a running server, and renewed ones later. */
export class CredentialSource implements experimental.CertificateProvider {
    readonly #authorityListeners = new Set<experimental.CaCertificateUpdateListener>();
    readonly #identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
    #credentials: Credentials;

    constructor(credentials: Credentials) {
        this.#credentials = credentials;
    }

    /**
     * Renews the credentials. Connections made from now on use them; those that are open stay.
     * @param credentials - The renewed credentials.
     */
    set(credentials: Credentials): void {
        this.#credentials = credentials;
        for (const listener of this.#authorityListeners) {
            listener({ caCertificate: credentials.authority });
        }
        for (const listener of this.#identityListeners) {
            listener({ certificate: credentials.certificate, privateKey: credentials.key });
        }
    }

    /** Creates the server's side, which asks each caller for a certificate. */
    createServerCredentials(): ServerCredentials {
        return experimental.createCertificateProviderServerCredentials(this, this, true);
    }

    /** @internal */
    addCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
        this.#authorityListeners.add(listener);
        process.nextTick(listener, { caCertificate: this.#credentials.authority });
    }

    /** @internal */
    removeCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
        this.#authorityListeners.delete(listener);
    }

    /** @internal */
    addIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
        this.#identityListeners.add(listener);
        const { certificate, key } = this.#credentials;
        process.nextTick(listener, { certificate, privateKey: key });
    }

    /** @internal */
    removeIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
        this.#identityListeners.delete(listener);
    }
}
