/**
 * VMs as listed in the platform's VM list.
 */

/** Role of a VM. */
export type VmRole = "entry" | "runner" | "service";

/** Whether the platform retains a VM or is about to remove it. */
export type VmState = "live" | "leaving";

/** Represents a VM of a site. */
export interface Vm {
    /** Unique over time: a replacement VM at the same address has a new identifier. */
    readonly id: string;
    /** IP address. */
    readonly address: string;
    readonly port: number;
    readonly role: VmRole;
    /** The upstream pool, such as `lm-pool`; empty for entries. */
    readonly pool: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly state: VmState;
    /** For entries: the port on which peers connect. */
    readonly peerPort?: number;
}
