/** How long upstreams take for the same work, learned by all nodes together. */
export * from "./digestPublisher.js";
export * from "./heardPaces.js";
export * from "./incarnation.js";
export * from "./localPaces.js";
export * from "./mergePaces.js";
export * from "./paceClass.js";
export * from "./paceDigest.js";
export * from "./pauseWindow.js";
export * from "./runnerPaces.js";
export * from "./sharedPaces.js";
