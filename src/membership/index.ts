/** Membership: gossip between entries, who is alive, and the calls that entries make to each other. */
export * from "./chooseAddresses.js";
export * from "./gossip.js";
export * from "./memberDirectory.js";
export * from "./membership.js";
export * from "./peerAddress.js";
export * from "./peerClient.js";
export * from "./peerCredentials.js";
export * from "./peerServer.js";
export * from "./protocol.js";
