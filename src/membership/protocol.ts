/**
 * Versions of the protocol between entries and of the record formats that they read.
 */

/** The oldest version that this program reads. */
export const oldestProtocol = 1;
/** The newest version that this program reads. Version 2 added sections of pools to the configuration. */
export const newestProtocol = 2;

/** Metadata key under which a call between entries carries the newest version that the caller reads. */
export const protocolKey = "rattanlock-protocol";

/** A range of versions that a node reads. */
export interface ProtocolRange {
    readonly oldest: number;
    readonly newest: number;
}
