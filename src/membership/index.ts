/** Membership: gossip between entries, states of members, and calls between entries. */
export * from "./chooseAddresses.js";
export * from "./gossip.js";
export * from "./memberDirectory.js";
export * from "./membership.js";
export type { MemberState } from "./memberStates.js";
export * from "./peerAddress.js";
export * from "./peerClient.js";
export * from "./peerCredentials.js";
export * from "./peerServer.js";
export * from "./protocol.js";
