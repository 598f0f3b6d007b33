/**
 * What a process shows and whom it trusts on connections that are encrypted both ways.
 */

/** A certificate, its key and the authority that signs the other side's certificates, all in PEM. */
export interface Credentials {
    readonly certificate: Buffer;
    readonly key: Buffer;
    readonly authority: Buffer;
    /** The name in the other side's certificates, when they name the site and not each VM's IP number. */
    readonly serverName?: string;
}
