/** Claims on keys: at most one run per idempotency key, and one version per session. */
export * from "./claimClient.js";
export * from "./claimFailure.js";
export * from "./claimFold.js";
export * from "./claimOperation.js";
export * from "./collector.js";
export * from "./collectorPool.js";
export * from "./peerClaims.js";
export * from "./sessionPins.js";
export * from "./sessionToken.js";
