/** Rate limits that upstreams state with their answers. */
export * from "./rateLimits.js";
