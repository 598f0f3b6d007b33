/**
 * Mutual TLS between entries: both sides present a certificate issued by the authority of the site.
 */
import { experimental, ServerCredentials } from "@grpc/grpc-js";
import type { Credentials } from "../common/index.js";

/** Provides credentials and their renewals to a running server. */
export class CredentialSource implements experimental.CertificateProvider {
    readonly #authorityListeners = new Set<experimental.CaCertificateUpdateListener>();
    readonly #identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();
    #credentials: Credentials;

    constructor(credentials: Credentials) {
        this.#credentials = credentials;
    }

    /**
     * Renews the credentials. New connections use them; open connections are unaffected.
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

    /** Creates server credentials that require a certificate from each client. */
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
