/** The state that the nodes share through the `control` stream: roll-outs, halts and stable versions. */
export * from "./rollout.js";
export * from "./rolloutFold.js";
/** Leases on the `control` stream, and orders to engines under them. */
export * from "./controlReader.js";
export * from "./leaseFold.js";
export * from "./leaseHolder.js";
export * from "./orderChannel.js";
