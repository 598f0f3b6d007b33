/** Model choice: selects the cheapest version or cascade that meets a quality target, based on shared counts. */
export * from "./answerTimes.js";
export * from "./bucketSeries.js";
export * from "./evidence.js";
export * from "./modelChooser.js";
export type { ModelRequest } from "./modelRequest.js";
export type { Plan, PlanStep } from "./plan.js";
export * from "./tally.js";
