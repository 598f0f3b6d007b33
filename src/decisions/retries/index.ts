/** Budget for repeated attempts, when they are made, and to whom they yield. */
export * from "./extraShare.js";
export * from "./headTimeouts.js";
export * from "./poolPressure.js";
export * from "./rankShares.js";
export * from "./recentQuantiles.js";
export * from "./windowedRetryBudget.js";
