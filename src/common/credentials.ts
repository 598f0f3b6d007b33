/**
 * Credentials for connections with mutual TLS.
 */

/** Holds a certificate, its key and the authority that signs the other side's certificates, all in PEM. */
export interface Credentials {
    readonly certificate: Buffer;
    readonly key: Buffer;
    readonly authority: Buffer;
    /** The name in the other side's certificates, if they name the site instead of each VM's IP address. */
    readonly serverName?: string;
}
