/** A client of a site, for the load generator, the demo and tests. */
export * from "./addressResolver.js";
export * from "./call.js";
export * from "./caller.js";
