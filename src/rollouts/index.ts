/** Roll-outs of a pool's software while it serves traffic. */
export type { AttemptEnd } from "./attemptWatch.js";
export type { PeerReport } from "./peerReports.js";
export type { PinReport } from "./pinnedSessions.js";
export * from "./rollout.js";
export * from "./rollouts.js";
export type { RolloutsOptions } from "./rolloutsOptions.js";
export { leadingNodeCount } from "./stepDelay.js";
export type { VersionSelection } from "./versionSelection.js";
