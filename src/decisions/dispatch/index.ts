/** Selection of a registered upstream for a request, and the statistics that it is based on. */
export { getUnitRank } from "../placement/rendezvous.js";
export * from "./connectionShare.js";
export * from "./paces.js";
export type { PromptDescription, UpstreamPick, UpstreamPickOptions } from "./pick.js";
export * from "./rejectionLimit.js";
export * from "./restLimit.js";
export * from "./sendLimit.js";
export type { ShareHolder } from "./shareHolders.js";
export * from "./statedRateLimit.js";
export * from "./upstreamPicker.js";
export type { CallOutcome } from "./upstreamStatus.js";
export * from "./warmUpLimit.js";
