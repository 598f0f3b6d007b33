/**
 * Types of the status that an entry serves to operators, as far as tests read it.
 */

/** Represents the parts of an entry's status that tests read. */
export interface EntryStatus {
    readonly ready: boolean;
    readonly configurationOffset: number;
    readonly configurationAgeMilliseconds: number;
    readonly holdsLease: boolean;
    /** The lease for roll-outs as the entry has folded it; empty until the lease is first taken. */
    readonly lease: { readonly holder?: string; readonly fence?: number; };
    /** Newest protocol version that all members read. */
    readonly commonProtocol: number;
    readonly members: readonly { readonly id: string; readonly state: string; }[];
    readonly upstreams: readonly { readonly id: string; }[];
    readonly versions: readonly { readonly id: string; readonly status: string; readonly halted: boolean; }[];
    readonly rollouts: readonly { readonly id: string; readonly state: string; readonly stage: number; }[];
    readonly halts: readonly { readonly version: string; readonly reason: string; }[];
    readonly bills: { readonly waiting: number; readonly kept: number; };
    readonly memory: { readonly rss: number; readonly heapUsed: number; };
}
