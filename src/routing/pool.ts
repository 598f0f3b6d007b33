/**
 * Pools of upstreams as the operator configures them.
 */

/** A model that a pool's engines serve. */
export interface PricedModel {
    readonly name: string;
    /** Price of a thousand generated tokens; tokens read count a quarter. */
    readonly price: number;
}

/** What is configured of a pool. */
export interface Pool {
    readonly name: string;
    /** Connections that one upstream accepts from all callers together. */
    readonly maxConnections: number;
    /** Empty for plain services. */
    readonly models: readonly PricedModel[];
}
