/**
 * Pools of upstreams as the operator configures them.
 */

/** A model that a pool's engines serve. */
export interface PricedModel {
    readonly name: string;
    /** Price of a thousand generated tokens. Prompt tokens cost a quarter. */
    readonly price: number;
}

/** Configuration of a pool. */
export interface Pool {
    readonly name: string;
    /** Maximum number of connections that one upstream accepts from all nodes together. */
    readonly maxConnections: number;
    /** Path at which an upstream answers whether it is healthy; undefined if the operator names none. */
    readonly healthPath?: string | undefined;
    /** How long an upstream warms up after its start, in milliseconds; 0 if it is warm at once. */
    readonly warmUpMilliseconds: number;
    /** Requests a second of all nodes that an upstream tolerates while it warms up. */
    readonly warmUpRequestsPerSecond: number;
    /** Empty for plain services. */
    readonly models: readonly PricedModel[];
}
