/** Errors, clocks and random numbers shared by all modules. */
export * from "./byteCollector.js";
export * from "./callerConnection.js";
export * from "./clock.js";
export * from "./credentials.js";
export * from "./errors.js";
export * from "./position.js";
export * from "./presenceCheck.js";
export * from "./random.js";
export * from "./readDocument.js";
export * from "./readProgress.js";
export * from "./readTimeout.js";
export * from "./repeatedTask.js";
export * from "./stallWatch.js";
export * from "./suspensionClock.js";
