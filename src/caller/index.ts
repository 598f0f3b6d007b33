/** A caller of a site, for the load tool, the demo and tests. */
export * from "./addressResolver.js";
export * from "./call.js";
export * from "./caller.js";
