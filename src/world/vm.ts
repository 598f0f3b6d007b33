/**
 * VMs as the platform's VM list shows them.
 */

/** What a VM runs. */
export type VmRole = "entry" | "runner" | "service";

/** Whether the platform keeps a VM or is about to take it away. */
export type VmState = "live" | "leaving";

/** A VM of a site. */
export interface Vm {
    /** Unique over time: a replaced VM on the same address has a new identifier. */
    readonly id: string;
    /** IP number. */
    readonly address: string;
    readonly port: number;
    readonly role: VmRole;
    /** The upstream pool, such as `lm-pool`; empty for entries. */
    readonly pool: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly state: VmState;
    /** For entries: the port on which its peers call it. */
    readonly peerPort?: number;
}
