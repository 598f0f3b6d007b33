/** The load generator: open-loop arrivals of a configured mix of work, and reports of latencies and outcomes. */
export * from "./arrivals.js";
export * from "./compare.js";
export * from "./loadClient.js";
export * from "./loadCommand.js";
export * from "./loadResult.js";
export * from "./loadRun.js";
export * from "./openLoop.js";
export * from "./profile.js";
export * from "./recorder.js";
export * from "./reportPage.js";
export * from "./resultText.js";
export * from "./schedule.js";
