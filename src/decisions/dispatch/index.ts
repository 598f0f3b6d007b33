/** Which registered upstream gets a request, and what is learned of it. */
export { getUnitRank } from "../placement/rendezvous.js";
export type {
    PromptDescription as PromptLoad,
    UpstreamPick as Pick,
    UpstreamPickOptions as PickOptions,
} from "./pick.js";
export * from "./upstreamPicker.js";
export type { CallOutcome } from "./upstreamStatus.js";
