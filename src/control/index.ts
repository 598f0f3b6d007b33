/** The state that the nodes share through the `control` stream. */
export * from "./rollout.js";
export * from "./rolloutFold.js";
/** Leases over the log's stream `control`, and orders to engines under them. */
export * from "./controlReader.js";
export * from "./leaseFold.js";
export * from "./leaseHolder.js";
export * from "./orderChannel.js";
