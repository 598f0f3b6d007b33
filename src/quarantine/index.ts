/** Requests that crash the upstreams that run them. */
export * from "./crashRecord.js";
export * from "./crashWatch.js";
export * from "./fingerprint.js";
export * from "./promptParts.js";
export * from "./quarantine.js";
export * from "./quarantineFailure.js";
export * from "./queryTraits.js";
export * from "./sharedQuarantine.js";
export { type CrashStage, partPolicy, requestPolicy, type SuspicionPolicy } from "./suspicion.js";
export * from "./upstreamLife.js";
export * from "./watchedRequest.js";
export * from "./watchedRun.js";
