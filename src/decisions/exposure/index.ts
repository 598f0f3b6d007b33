/** Which version: staged exposure of callers, sequential tests and what should happen next with a roll-out. */
export * from "./callerHash.js";
export * from "./exposures.js";
export * from "./rolloutEvaluator.js";
export * from "./rolloutPolicy.js";
export * from "./rolloutRouter.js";
export * from "./sequentialTest.js";
