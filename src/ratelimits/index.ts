/** Rate limits that upstreams state with their answers. */
export * from "./rateLimits.js";
export * from "./rateRecord.js";
export * from "./sharedRateLimits.js";
export * from "./statedRate.js";
