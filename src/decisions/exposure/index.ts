/** Version choice: staged exposure of callers, sequential tests and decisions on roll-outs. */
export * from "./callerHash.js";
export * from "./exposures.js";
export * from "./rolloutEvaluator.js";
export * from "./rolloutPolicy.js";
export * from "./rolloutRouter.js";
export * from "./sequentialTest.js";
