/** Utilities that start real processes and wait for conditions, for tests, scenarios and the demo. */
export * from "../caller/index.js";
export * from "./addressBlock.js";
export * from "./billingChecks.js";
export * from "./endWithParent.js";
export * from "./processGroup.js";
export * from "./runningProcess.js";
export * from "./site/index.js";
export * from "./siteChecks.js";
export * from "./standinControl.js";
export * from "./traffic.js";
export * from "./waitUntil.js";
