/** Which upstreams a node reaches, and calls to the others through peers. */
export * from "./reachability.js";
