/**
 * Share of the connections that an upstream accepts from all nodes together.
 */

/**
 * Returns how many connections a node may open to one upstream, at least one. A larger minimum would exceed the limit in a fleet
 * with many nodes, and the upstream resets what is beyond it, together with the requests on it.
 * @param limit - Connections that the upstream accepts from all nodes.
 * @param nodes - Number of nodes that may open connections.
 */
export function getConnectionShare(limit: number, nodes: number): number {
    return Math.max(1, Math.floor(limit / Math.max(1, nodes)));
}
