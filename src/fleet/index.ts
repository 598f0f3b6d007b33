/** The upstreams that register themselves with the platform. */
export * from "./announcements.js";
export * from "./sharedLeavings.js";
export * from "./upstream.js";
export * from "./upstreamHistory.js";
export * from "./upstreamRegistry.js";
export type { WarmUps } from "./warmUps.js";
