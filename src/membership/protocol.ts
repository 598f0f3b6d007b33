/**
 * Versions of the protocol between entries and of the record formats that they read.
 */

/** The oldest version that this program reads. */
export const oldestProtocol = 1;
/** The newest version that this program reads. Version 2 added the configuration's sections of pools. */
export const newestProtocol = 2;

/** Name under which a call between entries says the newest version that its caller reads. */
export const protocolKey = "rattanlock-protocol";

/** A range of versions that a node reads. */
export interface ProtocolRange {
    readonly oldest: number;
    readonly newest: number;
}
