/** Which registered upstream gets a request, and what is learned of it. */
export { getUnitRank } from "../placement/rendezvous.js";
export type { Pick, PickOptions, PromptLoad } from "./pick.js";
export * from "./upstreamPicker.js";
export type { CallOutcome } from "./upstreamStatus.js";
