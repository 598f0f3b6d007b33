/** Claims on keys: at most one run for an idempotency key, and one version for a session. */
export * from "./claimClient.js";
export * from "./claimFailure.js";
export * from "./claimFold.js";
export * from "./claimOperation.js";
export * from "./collector.js";
export * from "./collectorPool.js";
export * from "./peerClaims.js";
export * from "./sessionPins.js";
export * from "./sessionToken.js";
