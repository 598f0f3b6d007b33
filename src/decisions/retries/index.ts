/** Budget for repeated attempts. */
export * from "./windowedRetryBudget.js";
