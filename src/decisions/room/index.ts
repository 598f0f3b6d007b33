/** Room of pools that callers compete for. */
export type { LoadedUpstream, LoadStatement } from "./poolLoad.js";
export * from "./poolRoom.js";
export * from "./poolRooms.js";
export * from "./roomDecision.js";
export * from "./roomOptions.js";
