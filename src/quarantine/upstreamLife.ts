/**
 * What is known of an upstream's process after a run there has ended early or fallen silent.
 */

/**
 * What a look at an upstream shows.
 * - `running`: it has answered something that was sent after the end of the run.
 * - `ended`: nothing listens at its address, or what answers there has started anew since.
 * - `unresponsive`: connections are reset or get no answer, as when another process holds its address, or when it has gone dark. It may
 *   also be cut off, or silent for longer than a sound one.
 * - `unknown`: it could not be asked, or this node reaches none of its pool.
 */
export type UpstreamLife = "running" | "ended" | "unresponsive" | "unknown";
