/** The load generator: open-loop arrivals of the users' mix of work, and reports of what the callers met. */
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
